//! Tests of running groups whose assignment is overwritten by another program, or lost in a
//! restore.

mod ordered_support;

use std::time::Duration;

use ordered_support::{Domain, LARGE, SMALL};
use shalehinge::core::objects::Assignment;
use shalehinge::core::types::{GroupNumber, HostId};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Overwrites the assignment as another program would, and hands the lease over.
fn overwrite_assignment(domain: &mut Domain) {
    domain.is_foreign = true;
    domain.stored.version.number += 1;
    domain.change_holder();
}

/// Restores the store from a backup that lacks all groups, and hands the lease over to a daemon
/// that does not know them either.
fn restore_without_groups(domain: &mut Domain) {
    domain.stored.value = Assignment::default();
    domain.is_restored = true;
    domain.change_holder();
}

const WAYS_TO_LOSE_THE_ASSIGNMENT: [fn(&mut Domain); 2] =
    [overwrite_assignment, restore_without_groups];

/// Loses the assignment while a member of a serving group is missing from the host list, but goes
/// on serving. Returns the group and its members.
fn lose_assignment_with_an_unlisted_member(
    domain: &mut Domain,
    lose_assignment: fn(&mut Domain),
) -> (GroupNumber, Vec<HostId>) {
    let (number, mut members) = domain.group_of(LARGE);
    domain.engine(&members[1]).is_listed = false;
    lose_assignment(domain);
    domain.run_for(seconds(10));
    members.sort();
    (number, members)
}

/// Lists all hosts again, and checks that the group is known whole and keeps its members.
fn assert_group_is_complete_again(domain: &mut Domain, number: GroupNumber, members: &[HostId]) {
    for host in members {
        domain.engine(host).is_listed = true;
    }
    domain.run_for(seconds(10));
    assert_eq!(domain.stored_members(number), members);
    assert!(domain.are_members(number, members));
    assert_eq!(
        (domain.open_groups(LARGE), domain.open_groups(SMALL)),
        (2, 4)
    );
}

#[test]
fn a_serving_group_is_adopted_while_a_member_is_unlisted() {
    for lose_assignment in WAYS_TO_LOSE_THE_ASSIGNMENT {
        let mut domain = Domain::serving(&[8, 8]);
        let (number, members) =
            lose_assignment_with_an_unlisted_member(&mut domain, lose_assignment);
        assert!(
            domain.are_members(number, &members),
            "hosts of a group that serves were ordered to leave it"
        );
        assert_group_is_complete_again(&mut domain, number, &members);
    }
}

#[test]
fn a_serving_group_is_adopted_while_no_spare_host_is_listed() {
    for lose_assignment in WAYS_TO_LOSE_THE_ASSIGNMENT {
        let mut domain = Domain::serving(&[6]);
        let (small, small_members) = domain.group_of(SMALL);
        let (number, members) =
            lose_assignment_with_an_unlisted_member(&mut domain, lose_assignment);
        assert!(domain.are_members(number, &members));
        assert!(domain.are_members(small, &small_members));
    }
}

#[test]
fn a_later_holder_keeps_a_group_that_was_adopted_without_a_member() {
    for lose_assignment in WAYS_TO_LOSE_THE_ASSIGNMENT {
        let mut domain = Domain::serving(&[8, 8]);
        let (number, members) =
            lose_assignment_with_an_unlisted_member(&mut domain, lose_assignment);
        domain.change_holder();
        domain.run_for(seconds(10));
        assert_group_is_complete_again(&mut domain, number, &members);
    }
}

#[test]
fn a_group_adopted_without_a_member_is_replaced_once_it_is_broken() {
    for lose_assignment in WAYS_TO_LOSE_THE_ASSIGNMENT {
        let mut domain = Domain::serving(&[8, 8]);
        let (number, members) =
            lose_assignment_with_an_unlisted_member(&mut domain, lose_assignment);
        assert!(domain.are_members(number, &members));
        for host in &members {
            domain.engine(host).is_listed = true;
        }
        domain.crash(&members[1]);
        domain.run_until("group formed again", |domain| {
            domain.stored_members(number).is_empty() && domain.open_groups(LARGE) == 2
        });
    }
}

#[test]
fn a_restored_group_keeps_a_member_that_is_unlisted() {
    let mut domain = Domain::serving(&[8, 8]);
    let (number, mut members) = domain.group_of(LARGE);
    members.sort();
    domain.engine(&members[1]).is_listed = false;
    domain.is_restored = true;
    domain.change_holder();
    domain.run_for(seconds(10));
    assert!(!domain.is_restored, "the assignment was written again");
    assert_eq!(domain.stored_members(number), members);
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
    let (number, members) = domain.group_of(LARGE);
    domain.crash(&members[1]);
    overwrite_assignment(&mut domain);
    domain.run_until("group formed again", |domain| {
        let is_replaced = !domain.is_foreign && domain.stored_members(number).is_empty();
        is_replaced && domain.open_groups(LARGE) == 2
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
