/*
 * Models how one unit of the key space changes its owner, and a target its dispatcher.
 *
 * The store holds a sequence of tables, and each write replaces the current table with the next. Only one host, the
 * assigner, writes. Any host may be paused at any point, since every step may be delayed arbitrarily. The steps model
 * operations of the code: send, close, abandon, renew, pledge and refresh are operations of EntryHost's state machines,
 * issue is a write of AssignmentWriter, and grant is a grant that TargetModel handles.
 *
 * Each guard of the protocol can be disabled. If all guards are enabled, the unit never runs on two targets at the same
 * time; if any single guard is disabled, it can.
 */
module ownership

open util/ordering[Table] as tables

abstract sig Guard {}
one sig SessionOutlastsAuthority, CaughtUp, SessionGone, CompareAndSwap, MoveClosed, GrantLapsed, GrantBounded,
  GrantChecked, PledgesOver, WriteResolved extends Guard {}
sig Disabled in Guard {}

pred isEnabled[g: Guard] { g not in Disabled }

abstract sig Target {}
one sig First, Second extends Target {}

sig Host {}
one sig Assigner extends Host {}

/**
 * A version of the assignment table: the unit's owner, each target's dispatcher, the fencing token of each lane
 * (identified by the table that introduced it), and the destination of a move in progress.
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
  var knownTable: Host -> one Table,
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

fun table[h: Host]: Table { Hosts.knownTable[h] }

pred init {
  Store.current = tables/first
  no tables/first.moveTo
  tables/first.fence = Target -> tables/first
  Hosts.authority in Store.session
  no Store.pending
  Hosts.knownTable = Host -> tables/first
  Hosts.caughtUp = Host
  no Hosts.pledged
  no Hosts.closed
  no Hosts.abandoned
  Targets.granted in { t: Target, h: Hosts.authority, token: Table | h = tables/first.lane[t] and token = tables/first }
  Targets.newest = Target -> tables/first
  no Targets.inFlight
  no Targets.running
}

// ---- transitions between tables ----

pred startsMove[old, successor: Table] {
  no old.moveTo
  successor.owner = old.owner
  successor.lane = old.lane
  successor.fence = old.fence
  successor.moveTo = Target - old.owner
}

pred commitsMove[old, successor: Table] {
  some old.moveTo
  successor.owner = old.moveTo
  successor.lane = old.lane
  successor.fence = old.fence
  no successor.moveTo
}

pred changesLane[old, successor: Table] {
  successor.owner = old.owner
  successor.moveTo = old.moveTo
  one t: Target {
    successor.lane[t] != old.lane[t]
    successor.lane[Target - t] = old.lane[Target - t]
    successor.fence = old.fence ++ t -> successor
  }
}

pred replacesOwner[old, successor: Table] {
  successor.owner = Target - old.owner
  successor.lane = old.lane
  successor.fence = old.fence ++ old.owner -> successor
  no successor.moveTo
}

fun hostsLosingLanes[old, successor: Table]: set Host {
  { h: Host | some t: Target | old.lane[t] = h and successor.lane[t] != h }
}

// ---- steps of the assigner and the store ----

/** The assigner sends a write, based on the table and the reports that it has received. */
pred issue {
  let old = table[Assigner], successor = old.(tables/next) {
    some successor
    startsMove[old, successor] or commitsMove[old, successor] or changesLane[old, successor]
      or replacesOwner[old, successor]
    commitsMove[old, successor] and isEnabled[MoveClosed] implies old in Hosts.closed
    replacesOwner[old, successor] implies old.lane[old.owner] -> old in Hosts.abandoned
    isEnabled[PledgesOver] implies no Hosts.pledged
    Store.pending' = Store.pending + old
  }
  sameStore and sameHosts and sameTargets
}

/** The store applies a write, which may have been delayed arbitrarily. */
pred apply {
  some old: Store.pending | let successor = Store.current.(tables/next) {
    some successor
    isEnabled[CompareAndSwap] implies old = Store.current
    not isEnabled[CompareAndSwap] implies
      (startsMove[old, successor] or commitsMove[old, successor] or changesLane[old, successor]
        or replacesOwner[old, successor])
    isEnabled[SessionGone] implies no hostsLosingLanes[Store.current, successor] & Store.session
    Store.current' = successor
    Store.pending' = Store.pending - old
    // The reply reaches the assigner at once, or is lost.
    Hosts.knownTable' = Hosts.knownTable or Hosts.knownTable' = Hosts.knownTable ++ Assigner -> successor
  }
  Store.session' = Store.session
  sameCaughtUp and sameAuthority and sameReports and sameTargets
}

pred expireSession[h: Host] {
  h in Store.session
  isEnabled[SessionOutlastsAuthority] implies (h not in Hosts.authority or h in Hosts.pledged)
  Store.session' = Store.session - h
  Store.current' = Store.current and Store.pending' = Store.pending
  sameHosts and sameTargets
}

pred openSession[h: Host] {
  h not in Store.session
  Store.session' = Store.session + h
  Store.current' = Store.current and Store.pending' = Store.pending
  Hosts.caughtUp' = Hosts.caughtUp - h
  sameKnownTables and sameAuthority and sameReports and sameTargets
}

// ---- steps of hosts ----

pred refresh[h: Host] {
  Hosts.knownTable' = Hosts.knownTable ++ h -> Store.current
  Hosts.caughtUp' = Hosts.caughtUp + h
  sameStore and samePending and sameAuthority and sameReports and sameTargets
}

pred renew[h: Host] {
  h in Store.session
  Hosts.authority' = Hosts.authority + h
  Hosts.pledged' = Hosts.pledged - h
  sameStore and samePending and sameKnownTables and sameCaughtUp and sameReports and sameTargets
}

pred pledge[h: Host] {
  table[h] = table[Assigner]
  isEnabled[WriteResolved] implies table[Assigner] not in Store.pending and table[Assigner] = Store.current
  Hosts.authority' = Hosts.authority + h
  Hosts.pledged' = Hosts.pledged + h
  sameStore and samePending and sameKnownTables and sameCaughtUp and sameReports and sameTargets
}

pred expireAuthority[h: Host] {
  h in Hosts.authority
  isEnabled[GrantBounded] implies h not in (Target.(Targets.granted)).Table
  Hosts.authority' = Hosts.authority - h
  Hosts.pledged' = Hosts.pledged - h
  sameStore and samePending and sameKnownTables and sameCaughtUp and sameReports and sameTargets
}

/** Whether a host may act on a target according to its replica and its authority. */
pred mayAct[h: Host, t: Target] {
  h in Hosts.authority
  isEnabled[CaughtUp] implies h in Hosts.caughtUp
  table[h].lane[t] = h
  h -> table[h] not in Hosts.abandoned
}

pred send[h: Host, t: Target] {
  mayAct[h, t]
  table[h].owner = t
  no table[h].moveTo
  Targets.inFlight' = Targets.inFlight + h -> t -> table[h].fence[t]
  Targets.granted' = Targets.granted and Targets.newest' = Targets.newest and Targets.running' = Targets.running
  sameStore and samePending and sameHosts
}

/** The dispatcher of a unit in a move reports that no request for the unit is in flight or running. */
pred close[h: Host] {
  let known = table[h] {
    some known.moveTo
    known.lane[known.owner] = h
    no Targets.inFlight[h][known.owner]
    known.owner not in Targets.running
    Hosts.closed' = Hosts.closed + known
  }
  Hosts.abandoned' = Hosts.abandoned
  sameStore and samePending and sameKnownTables and sameCaughtUp and sameAuthority and sameTargets
}

/** The dispatcher abandons a target that does not respond, for as long as the table does not change. */
pred abandon[h: Host] {
  let known = table[h] {
    known.lane[known.owner] = h
    isEnabled[CaughtUp] implies h in Hosts.caughtUp
    isEnabled[GrantLapsed] implies no Targets.granted[known.owner][h]
    Hosts.abandoned' = Hosts.abandoned + h -> known
  }
  Hosts.closed' = Hosts.closed
  sameStore and samePending and sameKnownTables and sameCaughtUp and sameAuthority and sameTargets
}

// ---- steps of targets ----

pred grant[h: Host, t: Target] {
  mayAct[h, t]
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

/** A grant expires by the target's own clock, and the target abandons the request that ran under it. */
pred expireGrant[t: Target] {
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
  (t -> h -> token in Targets.granted or not isEnabled[GrantChecked])
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

// ---- frame conditions ----

pred sameStore { Store.current' = Store.current and Store.session' = Store.session }
pred samePending { Store.pending' = Store.pending }
pred sameKnownTables { Hosts.knownTable' = Hosts.knownTable }
pred sameCaughtUp { Hosts.caughtUp' = Hosts.caughtUp }
pred sameAuthority { Hosts.authority' = Hosts.authority and Hosts.pledged' = Hosts.pledged }
pred sameReports { Hosts.closed' = Hosts.closed and Hosts.abandoned' = Hosts.abandoned }
pred sameHosts { sameKnownTables and sameCaughtUp and sameAuthority and sameReports }
pred sameTargets {
  Targets.newest' = Targets.newest
  Targets.granted' = Targets.granted and Targets.inFlight' = Targets.inFlight and Targets.running' = Targets.running
}
pred stutter { sameStore and samePending and sameHosts and sameTargets }

pred step {
  issue or apply or stutter
  or (some h: Host | expireSession[h] or openSession[h] or refresh[h] or renew[h] or pledge[h] or expireAuthority[h]
    or close[h] or abandon[h])
  or (some h: Host, t: Target | send[h, t] or grant[h, t])
  or (some h: Host, t: Target, token: Table | arrive[h, t, token])
  or (some t: Target | expireGrant[t] or finish[t])
}

fact behaviour { init and always step }

/** At any time, the unit runs on at most one target. */
pred oneOwner { always lone Targets.running }

/** At any time, at most one host may send to a target, or lend the tokens of a bucket. */
pred oneDispatcher { always all t: Target | lone h: Host | mayAct[h, t] }

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
