//! Actor that owns a node's core.

use front::CallerEvent;
use ident::Timestamp;
use node::{CallerReply, CallerRequest, Event};
use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::{
    core::Core,
    inbox::{Inbox, Message},
    shell::{Parts, Shell},
};

/// Message handler of a node.
pub(crate) struct NodeActor;

/// Start arguments of the actor.
pub(crate) struct Arguments {
    pub(crate) core: Core,
    pub(crate) parts: Parts,
}

/// State of the actor.
pub(crate) struct Owned {
    core: Core,
    shell: Shell,
}

impl Actor for NodeActor {
    type Msg = Message;
    type State = Owned;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<Owned, ActorProcessingErr> {
        let shell = Shell::new(Inbox::new(myself), arguments.parts);
        Ok(Owned { core: arguments.core, shell })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        owned: &mut Owned,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Event(event) => owned.react(event),
            Message::Limited(event, permit) => {
                owned.react(event);
                drop(permit);
            }
            Message::Caller(event) => owned.handle_caller_event(event),
        }
        Ok(())
    }
}

impl Owned {
    fn handle_caller_event(&mut self, event: CallerEvent) {
        match event {
            CallerEvent::Request { request: CallerRequest::Explain(id), reply, .. } => {
                let _ = reply.send(CallerReply::Explain(self.shell.decisions(id)));
            }
            CallerEvent::Request { token, request, reply } => {
                self.shell.add_caller(token, reply);
                self.react(Event::Caller { token, request });
            }
            CallerEvent::Disconnected { token } => {
                if self.shell.remove_caller(token) {
                    self.react(Event::CallerGone { token });
                }
            }
        }
    }

    fn react(&mut self, event: Event) {
        let now = Timestamp::now();
        self.shell.note(now, &event);
        for effect in self.core.handle(now, event) {
            self.shell.carry_out(now, effect);
        }
    }
}
