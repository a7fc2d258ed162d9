/*
 * The protocol by which one unit of the key space changes its owner, and a target its dispatcher.
 *
 * The store holds a sequence of tables; each write moves on to the next. One host, the assigner, writes. Any host may be
 * paused at any point, since every step may wait for as long as it likes. The steps bear the names of the code:
 * EntryHost's duties send, close, abandon, renew, pledge and learn; AssignmentWriter writes; TargetModel takes grants.
 *
 * Each guard of the protocol can be disabled. With all guards on, the unit never runs on two targets; without any one of
 * them, it can.
 */
module ownership

open util/ordering[Table] as tables

abstract sig Guard {}
one sig SessionOutlastsAuthority, CaughtUp, SessionGone, CompareAndSwap, MoveClosed, GrantLapsed, GrantBounded,
  GrantChecked, PledgesOver, WriteResolved extends Guard {}
sig Disabled in Guard {}

pred on[g: Guard] { g not in Disabled }

abstract sig Target {}
one sig First, Second extends Target {}

sig Host {}
one sig Assigner extends Host {}

/**
 * A table as written: the unit's owner, each target's dispatcher, the fencing token of each lane (named by the table that
 * gave it), and a move in progress.
 */
sig Table {
  owner: one Target,
  lane: Target -> one Host,
  fence: Target -> one Table,
  moveTo: lone Target
}

one sig Store {
  var current: one Table,
  var session: set Host,
  var pending: set Table
}

one sig Hosts {
  var seen: Host -> one Table,
  var authority: set Host,
  var pledged: set Host,
  var caughtUp: set Host,
  var closed: set Table,
  var abandoned: Host -> Table
}

one sig Targets {
  var granted: Target -> Host -> Table,
  var newest: Target -> one Table,
  var inFlight: Host -> Target -> Table,
  var running: set Target
}

fun table[h: Host]: Table { Hosts.seen[h] }

pred init {
  Store.current = tables/first
  no tables/first.moveTo
  tables/first.fence = Target -> tables/first
  Hosts.authority in Store.session
  no Store.pending
  Hosts.seen = Host -> tables/first
  Hosts.caughtUp = Host
  no Hosts.pledged
  no Hosts.closed
  no Hosts.abandoned
  Targets.granted in { t: Target, h: Hosts.authority, token: Table | h = tables/first.lane[t] and token = tables/first }
  Targets.newest = Target -> tables/first
  no Targets.inFlight
  no Targets.running
}

// ---- what a write may turn one table into ----

pred startsMove[old, fresh: Table] {
  no old.moveTo
  fresh.owner = old.owner
  fresh.lane = old.lane
  fresh.fence = old.fence
  fresh.moveTo = Target - old.owner
}

pred commitsMove[old, fresh: Table] {
  some old.moveTo
  fresh.owner = old.moveTo
  fresh.lane = old.lane
  fresh.fence = old.fence
  no fresh.moveTo
}

pred changesLane[old, fresh: Table] {
  fresh.owner = old.owner
  fresh.moveTo = old.moveTo
  one t: Target {
    fresh.lane[t] != old.lane[t]
    fresh.lane[Target - t] = old.lane[Target - t]
    fresh.fence = old.fence ++ t -> fresh
  }
}

pred losesOwner[old, fresh: Table] {
  fresh.owner = Target - old.owner
  fresh.lane = old.lane
  fresh.fence = old.fence ++ old.owner -> fresh
  no fresh.moveTo
}

fun dispossessed[old, fresh: Table]: set Host {
  { h: Host | some t: Target | old.lane[t] = h and fresh.lane[t] != h }
}

// ---- steps of the assigner and the store ----

/** The assigner sends a write; it acts by the table and the reports that it knows. */
pred issue {
  let old = table[Assigner], fresh = old.(tables/next) {
    some fresh
    startsMove[old, fresh] or commitsMove[old, fresh] or changesLane[old, fresh] or losesOwner[old, fresh]
    commitsMove[old, fresh] and on[MoveClosed] implies old in Hosts.closed
    losesOwner[old, fresh] implies old.lane[old.owner] -> old in Hosts.abandoned
    on[PledgesOver] implies no Hosts.pledged
    Store.pending' = Store.pending + old
  }
  sameStore and sameHosts and sameTargets
}

/** The store applies a write that may have been under way for long. */
pred apply {
  some old: Store.pending | let fresh = Store.current.(tables/next) {
    some fresh
    on[CompareAndSwap] implies old = Store.current
    not on[CompareAndSwap] implies
      (startsMove[old, fresh] or commitsMove[old, fresh] or changesLane[old, fresh]
        or losesOwner[old, fresh])
    on[SessionGone] implies no dispossessed[Store.current, fresh] & Store.session
    Store.current' = fresh
    Store.pending' = Store.pending - old
    // The answer may reach the assigner at once, or be lost.
    Hosts.seen' = Hosts.seen or Hosts.seen' = Hosts.seen ++ Assigner -> fresh
  }
  Store.session' = Store.session
  sameCaughtUp and sameAuthority and sameReports and sameTargets
}

pred lapseSession[h: Host] {
  h in Store.session
  on[SessionOutlastsAuthority] implies (h not in Hosts.authority or h in Hosts.pledged)
  Store.session' = Store.session - h
  Store.current' = Store.current and Store.pending' = Store.pending
  sameHosts and sameTargets
}

pred openSession[h: Host] {
  h not in Store.session
  Store.session' = Store.session + h
  Store.current' = Store.current and Store.pending' = Store.pending
  Hosts.caughtUp' = Hosts.caughtUp - h
  sameSeen and sameAuthority and sameReports and sameTargets
}

// ---- steps of hosts ----

pred learn[h: Host] {
  Hosts.seen' = Hosts.seen ++ h -> Store.current
  Hosts.caughtUp' = Hosts.caughtUp + h
  sameStore and samePending and sameAuthority and sameReports and sameTargets
}

pred renew[h: Host] {
  h in Store.session
  Hosts.authority' = Hosts.authority + h
  Hosts.pledged' = Hosts.pledged - h
  sameStore and samePending and sameSeen and sameCaughtUp and sameReports and sameTargets
}

pred pledge[h: Host] {
  table[h] = table[Assigner]
  on[WriteResolved] implies table[Assigner] not in Store.pending and table[Assigner] = Store.current
  Hosts.authority' = Hosts.authority + h
  Hosts.pledged' = Hosts.pledged + h
  sameStore and samePending and sameSeen and sameCaughtUp and sameReports and sameTargets
}

pred lapseAuthority[h: Host] {
  h in Hosts.authority
  on[GrantBounded] implies h not in (Target.(Targets.granted)).Table
  Hosts.authority' = Hosts.authority - h
  Hosts.pledged' = Hosts.pledged - h
  sameStore and samePending and sameSeen and sameCaughtUp and sameReports and sameTargets
}

/** Whether a host may act on a target by what it knows. */
pred acts[h: Host, t: Target] {
  h in Hosts.authority
  on[CaughtUp] implies h in Hosts.caughtUp
  table[h].lane[t] = h
  h -> table[h] not in Hosts.abandoned
}

pred send[h: Host, t: Target] {
  acts[h, t]
  table[h].owner = t
  no table[h].moveTo
  Targets.inFlight' = Targets.inFlight + h -> t -> table[h].fence[t]
  Targets.granted' = Targets.granted and Targets.newest' = Targets.newest and Targets.running' = Targets.running
  sameStore and samePending and sameHosts
}

/** The dispatcher of the moving unit has nothing under way for it any more. */
pred close[h: Host] {
  let known = table[h] {
    some known.moveTo
    known.lane[known.owner] = h
    no Targets.inFlight[h][known.owner]
    known.owner not in Targets.running
    Hosts.closed' = Hosts.closed + known
  }
  Hosts.abandoned' = Hosts.abandoned
  sameStore and samePending and sameSeen and sameCaughtUp and sameAuthority and sameTargets
}

/** The dispatcher gives a silent target up, for as long as the table stays. */
pred abandon[h: Host] {
  let known = table[h] {
    known.lane[known.owner] = h
    on[CaughtUp] implies h in Hosts.caughtUp
    on[GrantLapsed] implies no Targets.granted[known.owner][h]
    Hosts.abandoned' = Hosts.abandoned + h -> known
  }
  Hosts.closed' = Hosts.closed
  sameStore and samePending and sameSeen and sameCaughtUp and sameAuthority and sameTargets
}

// ---- steps of targets ----

pred grant[h: Host, t: Target] {
  acts[h, t]
  let token = table[h].fence[t] {
    tables/gte[token, Targets.newest[t]]
    Targets.newest' = Targets.newest ++ t -> token
    Targets.granted' = Targets.granted - t -> Host -> Table + t -> h -> token
    t -> h -> token in Targets.granted
      implies Targets.running' = Targets.running
      else Targets.running' = Targets.running - t
  }
  Targets.inFlight' = Targets.inFlight
  sameStore and samePending and sameHosts
}

/** A grant ends by the target's own clock; what ran under it is given up. */
pred lapseGrant[t: Target] {
  some Targets.granted[t]
  Targets.granted' = Targets.granted - t -> Host -> Table
  Targets.newest' = Targets.newest
  Targets.running' = Targets.running - t
  Targets.inFlight' = Targets.inFlight
  sameStore and samePending and sameHosts
}

pred arrive[h: Host, t: Target, token: Table] {
  h -> t -> token in Targets.inFlight
  Targets.inFlight' = Targets.inFlight - h -> t -> token
  Targets.granted' = Targets.granted and Targets.newest' = Targets.newest
  (t -> h -> token in Targets.granted or not on[GrantChecked])
    implies Targets.running' = Targets.running + t
    else Targets.running' = Targets.running
  sameStore and samePending and sameHosts
}

pred finish[t: Target] {
  t in Targets.running
  Targets.running' = Targets.running - t
  Targets.granted' = Targets.granted and Targets.newest' = Targets.newest and Targets.inFlight' = Targets.inFlight
  sameStore and samePending and sameHosts
}

// ---- what stays as it is ----

pred sameStore { Store.current' = Store.current and Store.session' = Store.session }
pred samePending { Store.pending' = Store.pending }
pred sameSeen { Hosts.seen' = Hosts.seen }
pred sameCaughtUp { Hosts.caughtUp' = Hosts.caughtUp }
pred sameAuthority { Hosts.authority' = Hosts.authority and Hosts.pledged' = Hosts.pledged }
pred sameReports { Hosts.closed' = Hosts.closed and Hosts.abandoned' = Hosts.abandoned }
pred sameHosts { sameSeen and sameCaughtUp and sameAuthority and sameReports }
pred sameTargets {
  Targets.newest' = Targets.newest
  Targets.granted' = Targets.granted and Targets.inFlight' = Targets.inFlight and Targets.running' = Targets.running
}
pred stutter { sameStore and samePending and sameHosts and sameTargets }

pred step {
  issue or apply or stutter
  or (some h: Host | lapseSession[h] or openSession[h] or learn[h] or renew[h] or pledge[h] or lapseAuthority[h]
    or close[h] or abandon[h])
  or (some h: Host, t: Target | send[h, t] or grant[h, t])
  or (some h: Host, t: Target, token: Table | arrive[h, t, token])
  or (some t: Target | lapseGrant[t] or finish[t])
}

fact behaviour { init and always step }

/** The unit runs on at most one target at any time. */
pred oneOwner { always lone Targets.running }

/** At most one host may send to a target, or lend a bucket's tokens, at any time. */
pred oneDispatcher { always all t: Target | lone h: Host | acts[h, t] }

pred safe { oneOwner and oneDispatcher }

// ---- commands ----

check allGuards { no Disabled implies safe } for exactly 2 Host, 3 Table, 11 steps

run withoutSessionOutlastsAuthority { Disabled = SessionOutlastsAuthority and not safe } for exactly 2 Host, 3 Table, 11 steps
run withoutCaughtUp { Disabled = CaughtUp and not safe } for exactly 2 Host, 3 Table, 11 steps
run withoutSessionGone { Disabled = SessionGone and not safe } for exactly 2 Host, 3 Table, 11 steps
run withoutCompareAndSwap { Disabled = CompareAndSwap and not safe } for exactly 2 Host, 3 Table, 11 steps
run withoutMoveClosed { Disabled = MoveClosed and not safe } for exactly 2 Host, 3 Table, 11 steps
run withoutGrantLapsed { Disabled = GrantLapsed and not safe } for exactly 2 Host, 3 Table, 11 steps
run withoutGrantBounded { Disabled = GrantBounded and not safe } for exactly 2 Host, 3 Table, 12 steps
run withoutGrantChecked { Disabled = GrantChecked and not safe } for exactly 2 Host, 3 Table, 11 steps
run withoutPledgesOver { Disabled = PledgesOver and not safe } for exactly 2 Host, 3 Table, 11 steps
run withoutWriteResolved { Disabled = WriteResolved and not safe } for exactly 2 Host, 3 Table, 11 steps
