//! Values of the metric label `type` for messages.

use wire::{Call, Datagram, Reply};

/// Label value of a call.
pub(crate) fn call_name(call: &Call) -> &'static str {
    match call {
        Call::Run(_) => "run",
        Call::Execute(_) => "execute",
        Call::Cancel(_) => "cancel",
        Call::Ask(_) => "ask",
        Call::Await(_) => "await",
        Call::Submit(_) => "submit",
        Call::AskJob(_) => "ask_job",
        Call::StartTask(_) => "start_task",
        Call::RenewTasks { .. } => "renew_tasks",
        Call::StopTasks { .. } => "stop_tasks",
        Call::Fetch(_) => "fetch",
        Call::HandOver(_) => "hand_over",
    }
}

/// Label value of a reply.
pub(crate) fn reply_name(reply: &Reply) -> &'static str {
    match reply {
        Reply::Run(_) => "run_reply",
        Reply::Status(_) => "status_reply",
        Reply::Job(_) => "job_reply",
        Reply::Task(_) => "task_reply",
        Reply::State(_) => "state_reply",
        Reply::Ack => "ack",
    }
}

/// Label value of a datagram.
pub(crate) fn datagram_name(datagram: &Datagram) -> &'static str {
    match datagram {
        Datagram::Heartbeat(_) => "heartbeat",
        Datagram::Load { .. } => "load",
        Datagram::HeartbeatAck { .. } => "heartbeat_ack",
        Datagram::Gossip { .. } => "gossip",
        Datagram::PromiseRequest { .. } => "promise_request",
        Datagram::Promise(_) => "promise",
    }
}
