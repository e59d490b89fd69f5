//! Actor that owns a node's core.

use front::CallerEvent;
use ident::Timestamp;
use node::{CallerReply, CallerRequest, Event};
use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::{
    core::Core,
    mailbox::{Mailbox, Message},
    shell::{Resources, Shell},
};

/// Message handler of a node.
pub(crate) struct NodeActor;

/// Start arguments of the actor.
pub(crate) struct Arguments {
    pub(crate) core: Core,
    pub(crate) resources: Resources,
}

/// State of the actor.
pub(crate) struct ActorState {
    core: Core,
    shell: Shell,
}

impl Actor for NodeActor {
    type Msg = Message;
    type State = ActorState;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<ActorState, ActorProcessingErr> {
        let shell = Shell::new(Mailbox::new(myself, 0), arguments.resources);
        Ok(ActorState { core: arguments.core, shell })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut ActorState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Event(event) => state.handle_event(event),
            Message::Limited(event, permit, memory) => {
                state.handle_event(event);
                drop((permit, memory));
            }
            Message::Caller(event) => state.handle_caller_event(event),
        }
        Ok(())
    }
}

impl ActorState {
    fn handle_caller_event(&mut self, event: CallerEvent) {
        match event {
            CallerEvent::Request { request: CallerRequest::Explain(id), reply, .. } => {
                let _ = reply.send(CallerReply::Explain(self.shell.decisions(id)));
            }
            CallerEvent::Request { token, request, reply } => {
                self.shell.add_caller(token, reply);
                self.handle_event(Event::CallerRequest { token, request });
            }
            CallerEvent::Disconnected { token } => {
                if self.shell.remove_caller(token) {
                    self.handle_event(Event::CallerGone { token });
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = Timestamp::now();
        self.shell.observe(now, &event);
        for effect in self.core.handle(now, event) {
            self.shell.perform(now, effect);
        }
    }
}
