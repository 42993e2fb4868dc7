//! The steps of the model, and how they change the simulated deployment.

use {
    crate::{calls::Booking, links::Node, report, world::World},
    proptest::prelude::{BoxedStrategy, Strategy, any, prop_oneof},
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::time::Duration,
};

/// Time that passes after the last step, so that all that is under way ends.
const LAST_TIME: Duration = Duration::from_secs(11);

/// Size of a deployment, and the seed of what happens there between the steps.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    instances: usize,
    targets: usize,
    stores: usize,
    random: u64,
}

/// What a step does. Instances, targets and stores are meant by any number, modulo how many there are.
#[derive(Clone, Debug)]
pub enum Action {
    /// Nothing; time passes.
    Wait,
    /// Cuts an instance off from the service and the other instances.
    CutOff { instance: usize, ms: u64 },
    /// Cuts the directions to and from the service.
    CutService {
        instance: usize,
        to: bool,
        from: bool,
        ms: u64,
    },
    /// Cuts an instance off from all targets.
    CutTargets { instance: usize, ms: u64 },
    /// Cuts one direction between an instance and a target.
    CutTarget {
        instance: usize,
        target: usize,
        there: bool,
        ms: u64,
    },
    /// Cuts one direction between two instances.
    CutPeer { from: usize, to: usize, ms: u64 },
    /// The service gives no answers.
    ServiceAway { ms: u64 },
    /// A target leaves, and starts again under the same name.
    Leave { target: usize },
    /// A target crashes, and starts again under the same name.
    Crash { target: usize },
    /// A store starts again empty.
    RestartStore { store: usize, ms: u64 },
    /// An instance is told to stop, and starts again.
    Stop { instance: usize },
    /// A caller sends a booking.
    Book {
        instance: usize,
        work_ms: u64,
        limit_ms: u64,
        late_ms: u64,
    },
    /// The operators write a new configuration.
    Configure,
}

/// A step: something happens, then time passes.
#[derive(Clone, Debug)]
pub struct Step {
    action: Action,
    wait_ms: u64,
}

fn action() -> impl Strategy<Value = Action> {
    let index = 0..12_usize;
    let cut_ms = 200..9_000_u64;
    let i = || index.clone();
    let ms = || cut_ms.clone();
    prop_oneof![
        4 => (0..1_u8).prop_map(|_| Action::Wait),
        3 => (i(), ms()).prop_map(|(instance, ms)| Action::CutOff { instance, ms }),
        3 => (i(), any::<bool>(), any::<bool>(), ms()).prop_map(|(instance, to, from, ms)| {
            Action::CutService { instance, to, from, ms }
        }),
        3 => (i(), ms()).prop_map(|(instance, ms)| Action::CutTargets { instance, ms }),
        1 => (i(), i(), any::<bool>(), ms()).prop_map(|(instance, target, there, ms)| {
            Action::CutTarget { instance, target, there, ms }
        }),
        1 => (i(), i(), ms()).prop_map(|(from, to, ms)| Action::CutPeer { from, to, ms }),
        1 => (200..6_000_u64).prop_map(|ms| Action::ServiceAway { ms }),
        3 => i().prop_map(|target| Action::Leave { target }),
        1 => i().prop_map(|target| Action::Crash { target }),
        3 => (i(), 200..1_500_u64).prop_map(|(store, ms)| Action::RestartStore { store, ms }),
        3 => i().prop_map(|instance| Action::Stop { instance }),
        6 => (i(), 50..7_000_u64, 500..10_000_u64, 0..400_u64).prop_map(
            |(instance, work_ms, limit_ms, late_ms)| {
                Action::Book { instance, work_ms, limit_ms, late_ms }
            }
        ),
        1 => (0..1_u8).prop_map(|_| Action::Configure),
    ]
}

/// Generates deployments and steps.
pub struct Machine;

impl ReferenceStateMachine for Machine {
    type State = Size;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Size> {
        let sizes = (2..=4_usize, 1..=3_usize, 1..=2_usize, any::<u64>());
        let size = sizes.prop_map(|(instances, targets, stores, random)| Size {
            instances,
            targets,
            stores,
            random,
        });
        size.boxed()
    }

    fn transitions(_: &Size) -> BoxedStrategy<Step> {
        let step = (action(), 0..1_200_u64);
        let step = step.prop_map(|(action, wait_ms)| Step { action, wait_ms });
        step.boxed()
    }

    fn apply(state: Size, _: &Step) -> Size {
        state
    }
}

/// Runs the steps with the product's decisions.
pub struct Model;

impl StateMachineTest for Model {
    type SystemUnderTest = World;
    type Reference = Machine;

    fn init_test(size: &Size) -> World {
        World::new(size.instances, size.targets, size.stores, size.random)
    }

    fn apply(mut world: World, _: &Size, step: Step) -> World {
        world.act(&step.action);
        world.pass(Duration::from_millis(step.wait_ms));
        world
    }

    fn check_invariants(world: &World, _: &Size) {
        assert!(world.broken.is_empty(), "{:?}", world.broken);
    }

    fn teardown(mut world: World, size: Size) {
        world.pass(LAST_TIME);
        Self::check_invariants(&world, &size);
        report::add(&world.counts);
    }
}

impl World {
    fn act(&mut self, action: &Action) {
        let until = |ms: &u64| self.now + Duration::from_millis(*ms);
        let here = |index: &usize| Node::Instance(index % self.instances.len());
        match action {
            Action::Wait => {}
            Action::CutOff { instance, ms } => {
                let (here, until) = (here(instance), until(ms));
                self.links.cut_both(here, Node::Service, until);
                for other in (0..self.instances.len()).map(Node::Instance) {
                    self.links.cut_both(here, other, until);
                }
            }
            Action::CutService {
                instance,
                to,
                from,
                ms,
            } => {
                let (here, until) = (here(instance), until(ms));
                if *to {
                    self.links.cut(here, Node::Service, until);
                }
                if *from {
                    self.links.cut(Node::Service, here, until);
                }
            }
            Action::CutTargets { instance, ms } => {
                let (here, until) = (here(instance), until(ms));
                for target in (0..self.targets.len()).map(Node::Target) {
                    self.links.cut_both(here, target, until);
                }
            }
            Action::CutTarget {
                instance,
                target,
                there,
                ms,
            } => {
                let target = Node::Target(target % self.targets.len());
                let (here, until) = (here(instance), until(ms));
                let (from, to) = if *there {
                    (here, target)
                } else {
                    (target, here)
                };
                self.links.cut(from, to, until);
            }
            Action::CutPeer { from, to, ms } => {
                let (from, to, until) = (here(from), here(to), until(ms));
                self.links.cut(from, to, until);
            }
            Action::ServiceAway { ms } => self.service.go_away(until(ms)),
            Action::Leave { target } => {
                let index = target % self.targets.len();
                self.targets[index].leave();
            }
            Action::Crash { target } => {
                let index = target % self.targets.len();
                self.targets[index].crash(self.now);
            }
            Action::RestartStore { store, ms } => {
                let (index, until) = (store % self.stores.len(), until(ms));
                self.stores[index].restart(until, self.now);
            }
            Action::Stop { instance } => self.stop(instance % self.instances.len()),
            Action::Book {
                instance,
                work_ms,
                limit_ms,
                late_ms,
            } => self.bookings.push(Booking {
                work: Duration::from_millis(*work_ms),
                time_limit: Duration::from_millis(*limit_ms),
                late: Duration::from_millis(*late_ms),
                runs_count: 0,
                next: Some((self.now, instance % self.instances.len())),
                sent_count: 0,
            }),
            Action::Configure => self.configure(),
        }
    }

    /// Tells an instance to stop, unless it is the last one.
    fn stop(&mut self, index: usize) {
        let running =
            |it: &&mut crate::instance::Instance| it.runs(self.now) && it.stopped_at.is_none();
        let running_count = self.instances.iter_mut().filter(running).count();
        let instance = &mut self.instances[index];
        if running_count > 1 && instance.runs(self.now) && instance.stopped_at.is_none() {
            instance.stop(self.now);
        }
    }
}
