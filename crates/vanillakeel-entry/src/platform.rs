//! Threads that talk to the platform and to upstreams beside traffic: the log, the instance list,
//! load reports and orders.

mod list;
mod load;
mod log;
mod orders;

pub(crate) use self::{
    list::spawn_list,
    load::{
        Target,
        spawn_load, //
    },
    log::{
        Append,
        spawn_reader,
        spawn_writer, //
    },
    orders::{
        Order,
        spawn_orders, //
    },
};
