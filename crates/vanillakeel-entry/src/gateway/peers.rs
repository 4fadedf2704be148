//! Exchange of load and of log contents with other instances over UDP.
//!
//! Instances find each other by their [addresses on the log](super::registration). From then
//! on, members send reports to the hub of their data centre and apply its answers, and hubs exchange
//! totals; see [`vanillakeel::mesh`]. A datagram that is lost, late or malformed has no lasting
//! effect.

use super::{
    crashes,
    datagrams,
    duty_records,
    log_adapter::LogAdapter,
    log_views,
    mesh_wire::{
        crashes_from_wire,
        crashes_to_wire,
        loads_from_wire,
        loads_to_wire, //
    },
    passed_streams,
    rate_limits,
    registration,
    shared::Shared,
    speeds,
    streams,
    texts,
    usage,
    usage_exchange, //
};
use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::UdpSocket,
    time::sleep, //
};
use vanillakeel::{
    Millis,
    division::{
        self,
        Scope, //
    },
    mesh::{
        Loads,
        Peer,
        Summary, //
    },
    routes::Standing,
    streams::Towards,
    usage::Towards as UsageTowards,
};
use vanillakeel_wire::{
    Message as _,
    generated::{
        MeshCrashes,
        MeshDuty,
        MeshExchange,
        MeshMessage,
        MeshReads,
        MeshReport,
        MeshSummary,
        mesh_message::Kind, //
    },
};

/// Size of the receive buffer, in bytes; a UDP datagram cannot be larger.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Pause after a failed receive, in ms.
const RETRY_PAUSE_MS: u64 = 1_000;

/// Exchanges messages with peers for as long as the process runs.
pub(super) async fn run(shared: Rc<Shared>, log: LogAdapter, socket: Rc<UdpSocket>) {
    tokio::join!(
        registration::register(&shared, &log, &socket),
        receive_datagrams(&shared, &socket),
        report_periodically(&shared, &socket),
    );
}

/// Sends a report to the hub, or totals to the other hubs, at a fixed interval.
async fn report_periodically(shared: &Shared, socket: &UdpSocket) {
    loop {
        let interval_ms = shared.settings.borrow().timing.mesh_every_ms;
        sleep(Duration::from_millis(interval_ms)).await;
        if shared.stopping_since.get().is_some() {
            usage_exchange::hand_over(shared, shared.clock.now());
            continue;
        }
        let now = shared.clock.now();
        update_metrics(shared, now);
        rate_limits::divide(shared, now);
        let hub = shared.mesh.borrow().hub(now).cloned();
        if let Some(hub) = hub {
            shared.mesh.borrow_mut().on_sent(now, &hub.name);
            let samples = shared.fleet.borrow_mut().take_speed_samples();
            let report = MeshReport {
                speeds: speeds::to_wire(&samples),
                streams: passed_streams::tell(shared, &hub, Towards::Hub),
                usage: usage_exchange::tell(shared, &hub, UsageTowards::Hub),
                ..load_report(shared)
            };
            datagrams::send(shared, socket, &hub, Kind::Report(report)).await;
        }
        probe_skipped(shared, socket, now).await;
        // The mesh remembers the largest number from report to report.
        let sharing = shared.mesh.borrow_mut().sharing_instances(now).unwrap_or(0);
        shared.metrics.sharing_instances.set(i64::from(sharing));
        let factor = shared.mesh.borrow_mut().extrapolation_factor(now);
        shared.fleet.borrow_mut().set_extrapolation_factor(factor);
        if shared.mesh.borrow().is_hub(now) {
            exchange_totals(shared, socket, now).await;
            usage_exchange::tell_skipped_hubs(shared, now);
            log_views::query_reader(shared, socket, now).await;
        }
    }
}

/// Sends what it tells hubs to peers that are skipped, so that both sides of a cut find each other soon after it.
async fn probe_skipped(shared: &Shared, socket: &UdpSocket, now: Millis) {
    let probes = shared.mesh.borrow_mut().due_probes(now);
    for peer in probes {
        let is_own = peer.data_centre == shared.mesh.borrow().me().data_centre;
        let kind = if is_own {
            Kind::Report(load_report(shared))
        } else {
            Kind::Exchange(totals(shared, now, &peer))
        };
        datagrams::send(shared, socket, &peer, kind).await;
    }
}

/// Updates the gauges that show the state of the mesh.
fn update_metrics(shared: &Shared, now: Millis) {
    let mesh = shared.mesh.borrow();
    let peers = i64::try_from(mesh.len()).unwrap_or(i64::MAX);
    shared.metrics.peers.set(peers);
    let known_streams = shared.begun_streams.borrow().len();
    let known_streams = i64::try_from(known_streams).unwrap_or(i64::MAX);
    shared.metrics.known_streams.set(known_streams);
    shared.metrics.covered.set(i64::from(mesh.is_covered(now)));
    if shared.counts_usage {
        usage::tick(&shared.usage, &shared.metrics.usage, now, mesh.is_hub(now));
    }
}

/// Sends the total load of the own data centre to the other hubs.
///
/// The load of the members and of the other data centres becomes the remote load of the fleet.
async fn exchange_totals(shared: &Shared, socket: &UdpSocket, now: Millis) {
    let peers = shared.mesh.borrow().other_hubs(now);
    let samples = shared.fleet.borrow_mut().take_speed_samples();
    let speeds = speeds::to_wire(&samples);
    for peer in peers {
        shared.mesh.borrow_mut().on_sent(now, &peer.name);
        let message = MeshExchange {
            streams: passed_streams::tell(shared, &peer, Towards::Hub),
            usage: usage_exchange::tell(shared, &peer, UsageTowards::OtherHub),
            speeds: speeds.clone(),
            ..totals(shared, now, &peer)
        };
        datagrams::send(shared, socket, &peer, Kind::Exchange(message)).await;
    }
    let mesh = shared.mesh.borrow();
    let (mut remote, _) = mesh.own_data_centre(now, &Loads::default(), "");
    remote.merge(&mesh.other_data_centres(now).0);
    shared.fleet.borrow_mut().set_remote(&remote);
}

/// Creates the totals of the own data centre for a hub of another one, without what is told
/// only once.
fn totals(shared: &Shared, now: Millis, peer: &Peer) -> MeshExchange {
    let own = shared.fleet.borrow().loads_at(now);
    let (loads, instances) = shared.mesh.borrow().own_data_centre(now, &own, "");
    MeshExchange {
        loads: Some(loads_to_wire(&loads)),
        instances,
        reads: Some(cache_notices_to_wire(shared, now)),
        version: shared.in_force.borrow().version(),
        crashes: crashes_to_wire(&shared.quarantine.borrow().evidence(shared.quarantine_now())),
        rates: rate_limits::to_wire(shared, now),
        roster: rate_limits::roster_for(shared, now, &peer.name, Scope::OwnDataCentre),
        streams: None,
        duty: duty_news(shared, now),
        usage: None,
        speeds: None,
    }
}

/// Creates a report with the load of this instance, without what is told only once.
fn load_report(shared: &Shared) -> MeshReport {
    let now = shared.clock.now();
    MeshReport {
        id: shared.report_ids.id(now),
        loads: Some(loads_to_wire(&shared.fleet.borrow().loads_at(now))),
        reads: Some(cache_notices_to_wire(shared, now)),
        confirmed: shared.in_force.borrow().standing(now) == Standing::Confirmed,
        version: shared.in_force.borrow().version(),
        crashes: crashes_to_wire(&shared.quarantine.borrow().evidence(shared.quarantine_now())),
        rates: rate_limits::to_wire(shared, now),
        streams: None,
        usage: None,
        speeds: None,
    }
}

/// Receives datagrams for as long as the process runs.
async fn receive_datagrams(shared: &Shared, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => on_datagram(shared, socket, &buf[..length], from).await,
            // The socket reports this error after a datagram was sent to a peer that has exited.
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(e) => {
                tracing::warn!(error = %e, "datagrams could not be received");
                sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    }
}

/// Decodes a datagram, applies its content and answers a report.
async fn on_datagram(shared: &Shared, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    let Ok(message) = MeshMessage::decode(bytes) else {
        shared.metrics.bad_datagrams.inc();
        return;
    };
    let now = shared.clock.now();
    let peer = Peer {
        name: Arc::from(&*message.from),
        data_centre: Arc::from(&*message.data_centre),
        address: from,
        link_mbps: message.link_mbps,
    };
    let name = &peer.name;
    match &message.kind {
        Some(Kind::Leaving(_)) => {
            shared.mesh.borrow_mut().on_left(name);
            shared.spread.borrow_mut().on_left(name);
            shared.usage.borrow_mut().on_left(name);
            return;
        }
        // It may come from a peer that has left.
        Some(Kind::Usage(told)) => {
            usage_exchange::on_told(shared, now, name, Some(told));
            return;
        }
        Some(Kind::Duty(duty)) => {
            on_duty_news(shared, now, Some(duty));
            return;
        }
        _ => {}
    }
    if shared.mesh.borrow_mut().on_peer(&peer) {
        shared.peer_joined_at.set(Some(now));
    }
    hear(shared, name);
    match message.kind {
        Some(Kind::Report(report)) => {
            shared.on_announced(report.version, name);
            record_evidence(shared, report.crashes.as_ref());
            rate_limits::apply_told(shared, now, name, &report.rates);
            speeds::on_samples(&shared.fleet, now, report.speeds.as_ref(), true);
            record_cache_notices(shared, now, report.reads.as_ref());
            passed_streams::on_told(shared, name, report.streams.as_ref());
            usage_exchange::on_told(shared, now, name, report.usage.as_ref());
            let loads = loads_from_wire(report.loads.as_ref());
            let is_same_data_centre = {
                let mut mesh = shared.mesh.borrow_mut();
                let is_same_data_centre = mesh.me().data_centre == peer.data_centre;
                if is_same_data_centre {
                    let id = division::instance_id(name);
                    shared.roster.borrow_mut().on_report(now, id);
                    mesh.on_report(now, name, loads, report.confirmed);
                }
                is_same_data_centre
            };
            if is_same_data_centre && shared.stopping_since.get().is_none() {
                let summary = MeshSummary {
                    streams: passed_streams::tell(shared, &peer, Towards::Member),
                    usage: usage_exchange::tell(
                        shared,
                        &peer,
                        usage_exchange::towards(shared, now, name),
                    ),
                    ..summary(shared, now, name, report.id)
                };
                datagrams::send(shared, socket, &peer, Kind::Summary(summary)).await;
            }
        }
        Some(Kind::Exchange(exchange)) => {
            shared.on_announced(exchange.version, name);
            record_evidence(shared, exchange.crashes.as_ref());
            rate_limits::apply_told(shared, now, name, &exchange.rates);
            speeds::on_samples(&shared.fleet, now, exchange.speeds.as_ref(), false);
            shared.roster.borrow_mut().on_heard(now, &exchange.roster);
            record_cache_notices(shared, now, exchange.reads.as_ref());
            passed_streams::on_told(shared, name, exchange.streams.as_ref());
            on_duty_news(shared, now, exchange.duty.as_ref());
            usage_exchange::on_told(shared, now, name, exchange.usage.as_ref());
            let loads = loads_from_wire(exchange.loads.as_ref());
            let mut mesh = shared.mesh.borrow_mut();
            mesh.on_exchange(now, name, &message.data_centre, loads, exchange.instances);
        }
        Some(Kind::Summary(summary)) => on_summary(shared, now, name, &summary),
        Some(Kind::LogQuery(query)) => {
            shared.mesh.borrow_mut().on_log_query(now);
            let view = log_views::view(shared, now, query.id, log_views::has_read_log(shared, now));
            datagrams::send(shared, socket, &peer, Kind::LogView(view)).await;
        }
        Some(Kind::TextQuery(query)) => texts::on_query(shared, &peer, &query),
        Some(Kind::TextPart(part)) => texts::on_part(shared, &part),
        Some(Kind::LogView(view)) => log_views::on_view(shared, now, name, &view),
        Some(Kind::Streams(told)) => streams::on_told(shared, &told),
        Some(Kind::PassedStreams(told)) => passed_streams::on_told(shared, name, Some(&told)),
        Some(Kind::StreamQuery(query)) => {
            let answer = streams::answer(shared, &query);
            datagrams::send(shared, socket, &peer, Kind::StreamAnswer(answer)).await;
        }
        Some(Kind::StreamAnswer(answer)) => streams::on_answer(shared, name, &answer),
        Some(Kind::Leaving(_) | Kind::Usage(_) | Kind::Duty(_)) | None => {}
    }
}

/// Records that a peer is alive.
pub(super) fn hear(shared: &Shared, peer: &str) {
    let now = shared.clock.now();
    let id = division::instance_id(peer);
    shared.roster.borrow_mut().on_heard(now, &[id]);
}

/// Creates the answer to the report of a member.
///
/// It holds the load of all other instances, the recent changes of upstreams and the age of the log
/// contents here.
fn summary(shared: &Shared, now: Millis, member: &str, report_id: u64) -> MeshSummary {
    let own = shared.fleet.borrow().loads_at(now);
    let (loads, instances) = {
        let mesh = shared.mesh.borrow();
        let (mut loads, own_instances) = mesh.own_data_centre(now, &own, member);
        let (others, other_instances) = mesh.other_data_centres(now);
        loads.merge(&others);
        (loads, own_instances + other_instances)
    };
    let is_fresh = log_views::has_read_log(shared, now) || log_views::has_relayed_log(shared, now);
    let speeds = speeds::to_wire(&shared.fleet.borrow().speeds_to_tell(now));
    MeshSummary {
        loads: Some(loads_to_wire(&loads)),
        instances,
        reads: Some(cache_notices_to_wire(shared, now)),
        crashes: crashes_to_wire(&shared.quarantine.borrow().evidence(shared.quarantine_now())),
        rates: rate_limits::to_wire(shared, now),
        roster: rate_limits::roster_for(shared, now, member, Scope::All),
        duty: duty_news(shared, now),
        speeds,
        ..log_views::view(shared, now, report_id, is_fresh)
    }
}

/// Returns what other instances are told of the lease for the platform's tasks.
fn duty_news(shared: &Shared, now: Millis) -> Option<MeshDuty> {
    let news = shared.duty.borrow().news(now)?;
    Some(duty_records::news_to_wire(&news))
}

/// Tells all other hubs of the lease for the platform's tasks, also when this instance is stopping and sends no
/// other messages.
pub(super) fn tell_duty(shared: &Shared) {
    let now = shared.clock.now();
    let Some(duty) = duty_news(shared, now) else {
        return;
    };
    let mut hubs = shared.mesh.borrow().other_hubs(now);
    hubs.extend(shared.mesh.borrow().hub(now).cloned());
    for hub in hubs {
        datagrams::try_send(shared, &hub, Kind::Duty(duty));
    }
}

/// Applies what another instance has told of the lease for the platform's tasks.
fn on_duty_news(shared: &Shared, now: Millis, wire: Option<&MeshDuty>) {
    if let Some(wire) = wire {
        let news = duty_records::news_from_wire(wire);
        shared.duty.borrow_mut().on_heard(now, &news);
    }
}

/// Applies the answer of a hub; log contents only count if the hub is fresh.
fn on_summary(shared: &Shared, now: Millis, hub: &Arc<str>, summary: &MeshSummary) {
    let Some(sent_at) = shared.report_ids.sent_at(summary.report_id, now) else {
        shared.metrics.bad_datagrams.inc();
        return;
    };
    // What a hub has read before the log came back from a copy says nothing about the present.
    let is_fresh = summary.fresh && summary.log_era >= shared.log_era();
    let received = Summary {
        is_fresh,
        instances: summary.instances,
    };
    shared.mesh.borrow_mut().on_summary(now, hub, received);
    passed_streams::on_told(shared, hub, summary.streams.as_ref());
    on_duty_news(shared, now, summary.duty.as_ref());
    usage_exchange::on_told(shared, now, hub, summary.usage.as_ref());
    record_cache_notices(shared, now, summary.reads.as_ref());
    record_evidence(shared, summary.crashes.as_ref());
    rate_limits::apply_told(shared, now, hub, &summary.rates);
    speeds::on_told(&shared.fleet, now, summary.speeds.as_ref());
    shared.roster.borrow_mut().on_heard(now, &summary.roster);
    let loads = loads_from_wire(summary.loads.as_ref());
    shared.fleet.borrow_mut().set_remote(&loads);
    log_views::apply(shared, now, hub, summary, is_fresh.then_some(sent_at));
}

/// Encodes the prompt segments that upstreams have recently computed.
fn cache_notices_to_wire(shared: &Shared, now: Millis) -> MeshReads {
    let mut wire = MeshReads::default();
    for notice in shared.fleet.borrow().cache_notices(now) {
        wire.parts.push(notice.segment);
        wire.upstreams.push(notice.upstream);
    }
    wire
}

/// Adds what a peer knows of crashes.
fn record_evidence(shared: &Shared, wire: Option<&MeshCrashes>) {
    if let Some(wire) = wire {
        let evidence = crashes_from_wire(wire);
        let changes = shared
            .quarantine
            .borrow_mut()
            .on_evidence(shared.quarantine_now(), &evidence);
        crashes::log_changes(shared, &changes);
    }
}

/// Records the prompt segments that upstreams have recently computed for a peer.
fn record_cache_notices(shared: &Shared, now: Millis, wire: Option<&MeshReads>) {
    let Some(wire) = wire else {
        return;
    };
    let mut fleet = shared.fleet.borrow_mut();
    for (segment, upstream) in wire.parts.iter().zip(&wire.upstreams) {
        fleet.on_cache_notice(now, *segment, *upstream);
    }
}
