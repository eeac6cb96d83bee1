//! Tests of running groups whose assignment is overwritten by another program.

mod ordered_support;

use std::time::Duration;

use ordered_support::{Domain, LARGE, SMALL};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Overwrites the assignment as another program would, and hands the lease over.
fn overwrite_assignment(domain: &mut Domain) {
    domain.is_foreign = true;
    domain.stored.version.number += 1;
    domain.change_holder();
}

#[test]
fn running_groups_are_adopted_after_another_writer_overwrote_the_assignment() {
    let mut domain = Domain::serving(&[8, 8]);
    let before = domain.stored.value.groups.clone();
    overwrite_assignment(&mut domain);
    domain.run_for(seconds(10));
    assert!(!domain.is_foreign, "the assignment was rewritten");
    let after = &domain.stored.value.groups;
    assert_eq!(
        after.keys().collect::<Vec<_>>(),
        before.keys().collect::<Vec<_>>()
    );
    assert_eq!(
        (domain.open_groups(LARGE), domain.open_groups(SMALL)),
        (2, 4)
    );
}

#[test]
fn a_group_that_lost_a_member_while_the_assignment_was_overwritten_is_replaced() {
    let mut domain = Domain::serving(&[8, 8]);
    let (_, members) = domain.group_of(LARGE);
    domain.engine(&members[1]).is_listed = false;
    domain.engine(&members[1]).is_reachable = false;
    overwrite_assignment(&mut domain);
    domain.run_until("group formed again", |domain| {
        !domain.is_foreign && domain.open_groups(LARGE) == 2
    });
}

#[test]
fn a_holder_without_a_list_newer_than_the_overwritten_assignment_sends_no_orders() {
    let mut domain = Domain::serving(&[8]);
    let list = domain.current_list();
    overwrite_assignment(&mut domain);
    domain.change_holder_with_list(list);
    let order_count = domain.order_count;
    domain.run_for(seconds(5));
    assert_eq!(domain.order_count, order_count);
    assert!(domain.is_foreign);
}
