//! Threads for the platform's services and for the control interface of upstreams.
//!
//! They read and append to the log, read the instance list, poll upstreams for load reports and
//! cache events, and send commands to upstreams. Their results go to the control thread as
//! [`Input`](crate::message::Input).

mod list;
mod load;
mod log;
mod orders;

pub(crate) use self::{
    list::spawn_list_reader,
    load::{
        PollTarget,
        spawn_load_poller, //
    },
    log::{
        Append,
        spawn_log_reader,
        spawn_log_writer, //
    },
    orders::{
        UpstreamCommand,
        spawn_command_senders, //
    },
};
