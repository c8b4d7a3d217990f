//! Which VMs may know a program, and what their replies leave open.

use super::account::ProgramAccount;
use super::ledger::BudgetLedger;
use super::losses::VmLoss;
use super::share::{ProgramKey, VmProcess};
use super::takeover::{AccountReply, TakeoverFinding, TakeoverInput, assess_takeover};
use super::view::HomeView;
use crate::decide::member_facts::{MemberFacts, VmKey};
use crate::decide::members::{MemberTable, RankedPeer};

/// Number of other VMs that a new home asks for what they know of the program.
pub(super) const ASKED_VMS: usize = 3;
/// Number of VMs that are asked in turn to be the witness of a home.
const WITNESSES_MAX: usize = 2;
/// Time after the first start of all VMs in which they find each other, in milliseconds; programs
/// begin later.
const FIRST_START_MS: u64 = 3_000;

/// Returns the VMs that have neither replied nor failed to.
pub(super) fn without_asked(
    mut wanted: Vec<MemberFacts>,
    replies: &[AccountReply],
    unanswered: &[VmKey],
) -> Vec<MemberFacts> {
    wanted.retain(|facts| {
        let mut answered = replies.iter().map(|reply| reply.process.vm);
        !unanswered.contains(&facts.key()) && !answered.any(|vm| vm == facts.key())
    });
    wanted
}

/// Returns what this VM knows of a program itself.
pub(super) fn own_reply(view: &HomeView<'_>, program: ProgramKey) -> AccountReply {
    AccountReply {
        process: view.ledger.process(),
        account: view.ledger.copy_with_records(program, view.now_ms),
        absence_age_ms: own_absence(view).map(|loss| view.now_ms.saturating_sub(loss.at_ms)),
    }
}

/// Returns whether the processes that replied know together all that was granted under a record.
pub(super) fn is_record_known(replies: &[AccountReply], record: u64) -> bool {
    let copies = || replies.iter().filter_map(|reply| reply.account.as_ref());
    let has_replied = |process: VmProcess| replies.iter().any(|reply| reply.process == process);
    let mut passed_on = copies().flat_map(|copy| &copy.passed_on);
    copies().any(|copy| copy.known_records.contains(&record))
        && passed_on.all(|(passed, process)| *passed != record || has_replied(*process))
}

/// Returns the last absence of this VM, if there was one.
fn own_absence<'a>(view: &'a HomeView<'_>) -> Option<&'a VmLoss> {
    let mut losses = view.losses.losses.iter();
    losses.find(|loss| loss.process() == view.ledger.process())
}

/// Judges what a new home may not know, from the replies, its own last among them.
pub(super) fn find_missing(
    view: &HomeView<'_>,
    program: ProgramKey,
    replies: &[AccountReply],
    unanswered: &[VmKey],
) -> TakeoverFinding {
    let (own, now_ms) = (view.ledger.process(), view.now_ms);
    let members = &*view.members;
    let silent = unanswered.iter().map(|vm| VmLoss {
        vm: *vm,
        incarnation: 0,
        at_ms: now_ms,
    });
    // Their silence is not recorded before the next round.
    let is_recorded = |facts: &&MemberFacts| {
        let mut losses = view.losses.losses.iter();
        losses.any(|loss| (loss.vm, loss.incarnation) == (facts.key(), facts.incarnation))
    };
    let unanswering = members.unanswering(now_ms);
    let unanswering = unanswering.filter(|facts| !is_recorded(facts));
    let unanswering = unanswering.map(|facts| VmLoss {
        vm: facts.key(),
        incarnation: facts.incarnation,
        at_ms: now_ms,
    });
    // A process that is not known to have restarted.
    let restarted = replies.iter().filter_map(|reply| {
        let known = members.incarnation(reply.process.vm);
        let earlier = known.filter(|known| *known < reply.process.incarnation)?;
        Some(VmLoss {
            vm: reply.process.vm,
            incarnation: earlier,
            at_ms: now_ms,
        })
    });
    // A VM that was absent has kept what it knew.
    let known = view.losses.losses.iter().copied();
    let known = known.filter(|loss| loss.process() != own);
    let found: Vec<_> = silent.chain(unanswering).chain(restarted).collect();
    // Each was lost at any time since it was heard last.
    let earliest = found.iter().filter_map(|loss| {
        let at_ms = members.last_heard_ms(loss.vm)?;
        Some(VmLoss { at_ms, ..*loss })
    });
    let losses: Vec<_> = known.chain(earliest).chain(found.iter().copied()).collect();
    let vms: Vec<_> = losses.iter().map(|loss| loss.vm).chain([own.vm]).collect();
    assess_takeover(&TakeoverInput {
        own,
        replies,
        ranked: &members.ranked_keys(program, &vms),
        losses: &losses,
        is_down: &|vm| vm != own.vm && (unanswered.contains(&vm) || !members.is_live(vm, now_ms)),
        has_joined: &|vm, since_ms| {
            let wall_ms = own.incarnation.saturating_add(since_ms);
            // An absence may have ended before this VM started.
            let recent_ms = now_ms.saturating_sub(since_ms) + view.losses.window_ms;
            let has_returned = |reply: &AccountReply| {
                let absence_age_ms = reply.absence_age_ms.filter(|_| reply.process.vm == vm);
                absence_age_ms.is_some_and(|age_ms| age_ms <= recent_ms)
            };
            members.has_joined_since(vm, since_ms, wall_ms) || replies.iter().any(has_returned)
        },
        has_ended: &|process| {
            let mut processes = replies.iter().map(|reply| reply.process);
            members.has_ended(process.vm, process.incarnation)
                || processes
                    .any(|reply| process.vm == reply.vm && process.incarnation < reply.incarnation)
        },
        window_ms: view.losses.window_ms,
        now_ms,
        has_lost_counts: view.losses.has_lost_counts,
        knows_records: view.knows_records,
    })
}

/// Returns the VMs that rank first for a program and so may know it.
///
/// Returns none if this VM is the regular home and has been since the first start of all VMs or
/// for as long as programs are remembered: its witness knows whether another VM acts as home.
pub(super) fn peers_to_ask(view: &HomeView<'_>, program: ProgramKey) -> Vec<MemberFacts> {
    let (own, now_ms) = (view.ledger.process().vm, view.now_ms);
    let members = &*view.members;
    let changed_ms = members.changed_ms();
    let is_unchanged = view.is_first_start && changed_ms < FIRST_START_MS;
    let age_ms = now_ms.saturating_sub(changed_ms);
    let is_regular = members.ranked_keys(program, &[own]).first() == Some(&own);
    if is_regular && (is_unchanged || age_ms >= view.retention_ms) {
        return Vec::new();
    }
    let mut peers = members.ranked_peers(program, now_ms, ASKED_VMS);
    peers.truncate(ASKED_VMS);
    let is_cut_off = peers.iter().all(|peer| !peer.is_answering);
    let asked = peers.into_iter();
    let asked = asked.filter(|peer| is_cut_off || peer.is_answering);
    asked.map(|peer| peer.facts).collect()
}

/// Returns the VMs that can be the witness, the present one first while it answers, so that no role
/// begins without need.
pub(super) fn rank_witnesses(view: &HomeView<'_>, program: ProgramKey) -> Vec<RankedPeer> {
    let (members, now_ms) = (&*view.members, view.now_ms);
    let mut ranked = members.ranked_peers(program, now_ms, WITNESSES_MAX);
    let role = view
        .ledger
        .account(program)
        .and_then(|account| account.role);
    let present = role.and_then(|role| role.witness).and_then(|witness| {
        let facts = members.get_live(witness.vm, witness.incarnation, now_ms)?;
        let mut unanswering = members.unanswering(now_ms);
        (!unanswering.any(|other| other == facts)).then(|| facts.clone())
    });
    if let Some(facts) = present {
        ranked.retain(|peer| peer.facts != facts);
        let is_answering = true;
        ranked.insert(
            0,
            RankedPeer {
                facts,
                is_answering,
            },
        );
    }
    ranked
}

/// Returns whether this VM is the home or the witness of a program and the other one is gone.
#[must_use]
pub fn has_lost_partner(
    ledger: &BudgetLedger,
    members: &MemberTable,
    program: ProgramKey,
    now_ms: u64,
) -> bool {
    let own = ledger.process();
    let role = ledger.account(program).and_then(|account| account.role);
    role.filter(|role| role.has_member(own))
        .is_some_and(|role| {
            let mut partners = role.members().filter(|member| *member != own);
            !partners.any(|partner| {
                let live = members.get_live(partner.vm, partner.incarnation, now_ms);
                live.is_some()
            })
        })
}

/// Returns the VMs that rank first for a program and are no members of its latest role, if this
/// VM is to tell them of the role since VMs have joined, restarted or died.
#[must_use]
pub fn missing_copies(
    ledger: &BudgetLedger,
    members: &MemberTable,
    program: ProgramKey,
    copies: usize,
    now_ms: u64,
) -> Vec<MemberFacts> {
    let account = ledger.account(program);
    let Some(role) = account.and_then(|account: &ProgramAccount| account.role) else {
        return Vec::new();
    };
    let own = ledger.process();
    // The witness stands in for a home that is gone.
    let is_home_live = members.is_live(role.home.vm, now_ms)
        && members.incarnation(role.home.vm) == Some(role.home.incarnation);
    if role.home != own && is_home_live {
        return Vec::new();
    }
    let first = members.first_homes(own.vm, program, now_ms);
    let first = first.into_iter().take(copies);
    let others = first.filter_map(|home| home.facts);
    others
        .filter(|facts| {
            !role.has_member(VmProcess {
                vm: facts.key(),
                incarnation: facts.incarnation,
            })
        })
        .collect()
}
