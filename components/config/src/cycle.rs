//! Search for circular dependencies.

use crate::Service;
use crate::ServiceKey;
use kernel::Arena;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Mark {
    New,
    Open,
    Done,
}

/// One circle of dependencies, as the services along it; `None` if there is none.
pub(crate) fn find_circle(services: &Arena<Service>) -> Option<Vec<ServiceKey>> {
    let mut marks = vec![Mark::New; services.len()];
    for (start, _) in services.iter() {
        if marks[start.index()] != Mark::New {
            continue;
        }
        marks[start.index()] = Mark::Open;
        // Services on the way and the position of the next dependency of each. A stack of its own,
        // because a chain can be as long as the list of services.
        let mut way = vec![(start, 0)];
        while let Some((key, next)) = way.last_mut() {
            let dependencies = services.get(*key).map_or(&[][..], |it| &it.dependencies);
            let Some(target) = dependencies.get(*next).copied() else {
                marks[key.index()] = Mark::Done;
                way.pop();
                continue;
            };
            *next += 1;
            match marks[target.index()] {
                Mark::Done => {}
                Mark::New => {
                    marks[target.index()] = Mark::Open;
                    way.push((target, 0));
                }
                Mark::Open => {
                    let circle = way.iter().map(|(key, _)| *key);
                    return Some(circle.skip_while(|key| *key != target).collect());
                }
            }
        }
    }
    None
}
