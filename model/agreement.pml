/*
 * The consensus protocol of the control replicas: leader election, log replication, commit, and the replacement of a lost disk
 * by single-server membership changes. A replica is identified by its VM and the generation of its disk. Each step is atomic and
 * steps may be taken in any order, so messages may be delayed, duplicated or lost.
 *
 * Claims, asserted in the steps: a term has at most one leader; a new leader's log holds every entry that leaders of earlier
 * terms committed; no two replicas commit different entries at the same index.
 *
 * -DEMPTY_DISK_VOTES seeds a fault: a replica that lost its disk comes back, empty, under its old identity.
 * -DCHANGE_IN_ONE_STEP seeds another: a lost replica is removed and its successor added in one membership change.
 */

#ifndef TERMS
#define TERMS 2
#endif
#ifndef ENTRIES
#define ENTRIES 4
#endif
#ifndef LOSSES
#define LOSSES 2
#endif
#define VMS 3
#define NONE 9

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* The kind of an entry: the no-op that a new leader appends first, data, or a membership as a bit set of the voters. */
#define NO_OP 0
#define DATA 1
#define MEMBERSHIP 2

/* The bit of the replica on VM v with disk generation g. */
#define BIT(v, g) (1 << ((v) * 2 + (g)))
#define INITIAL_MEMBERS (BIT(0, 0) | BIT(1, 0) | BIT(2, 0))
#define ENTRY(v, n) ((v) * (ENTRIES + 1) + (n))

byte currentTerm[VMS];
byte votedFor[VMS];
byte role[VMS];
byte grantedVotes[VMS];
byte generation[VMS];
byte logLength[VMS];
byte commitIndex[VMS];
byte matchIndex[VMS * VMS];
byte entryTerm[VMS * (ENTRIES + 1)];
byte entryKind[VMS * (ENTRIES + 1)];
byte entryMembers[VMS * (ENTRIES + 1)];

/*
 * History for the claims: the entries that were ever committed, the term whose leader first committed each of them, the newest
 * committed membership, and the leader of each term.
 */
byte committedEntries;
byte committedTerm[ENTRIES + 1];
byte firstCommittedIn[ENTRIES + 1];
byte committedMembers = INITIAL_MEMBERS;
byte leaderOf[TERMS + 1];
byte losses;

/* The current disk of every VM is a voter. Disks are lost only in this state; otherwise a majority of the voters could be lost. */
#define ALL_DISKS_VOTE \
  ((committedMembers & BIT(0, generation[0])) && (committedMembers & BIT(1, generation[1])) && \
   (committedMembers & BIT(2, generation[2])))

/* Scratch variables; always zero between steps, so that they add no states. */
byte members, other, count, n, from;

#define LAST_TERM(v) entryTerm[ENTRY(v, logLength[v])]

/* Sets members to the newest membership in the log of v, and n to the index of its entry, 0 for the initial membership. */
inline readMembership(v) {
  n = logLength[v];
  do
  :: n > 0 && entryKind[ENTRY(v, n)] != MEMBERSHIP -> n--
  :: else -> break
  od;
  members = (n == 0 -> INITIAL_MEMBERS : entryMembers[ENTRY(v, n)]);
}

/* Sets count to the number of replicas in the bit set b that are in members. */
inline countVotes(b) {
  count = 0;
  other = 0;
  do
  :: other < VMS * 2 ->
     if
     :: (members & (1 << other)) && ((b) & (1 << other)) -> count++
     :: else
     fi;
     other++
  :: else -> break
  od;
}

/* Sets other to the size of a majority of members. */
inline computeQuorum() {
  other = 0;
  n = 0;
  do
  :: other < VMS * 2 ->
     if
     :: members & (1 << other) -> n++
     :: else
     fi;
     other++
  :: else -> break
  od;
  other = n / 2 + 1;
}

inline clearScratch() { members = 0; other = 0; count = 0; n = 0; from = 0 }

inline becomeFollower(v, t) {
  currentTerm[v] = t;
  votedFor[v] = NONE;
  role[v] = FOLLOWER;
  grantedVotes[v] = 0;
}

inline appendEntry(v, k, m) {
  logLength[v]++;
  entryTerm[ENTRY(v, logLength[v])] = currentTerm[v];
  entryKind[ENTRY(v, logLength[v])] = k;
  entryMembers[ENTRY(v, logLength[v])] = m;
  matchIndex[v * VMS + v] = logLength[v];
}

inline startElection(v) {
  readMembership(v);
  if
  :: (members & BIT(v, generation[v])) ->
     currentTerm[v]++;
     votedFor[v] = v;
     role[v] = CANDIDATE;
     grantedVotes[v] = BIT(v, generation[v])
  :: else
  fi;
  clearScratch();
}

/* w grants its vote to the candidate v when the term and the logs allow it. */
inline grantVote(v, w) {
  if
  :: currentTerm[w] < currentTerm[v] -> becomeFollower(w, currentTerm[v])
  :: else
  fi;
  if
  :: currentTerm[w] == currentTerm[v] && (votedFor[w] == NONE || votedFor[w] == v) &&
     (LAST_TERM(v) > LAST_TERM(w) || (LAST_TERM(v) == LAST_TERM(w) && logLength[v] >= logLength[w])) ->
     votedFor[w] = v;
     grantedVotes[v] = grantedVotes[v] | BIT(w, generation[w])
  :: else
  fi;
}

inline becomeLeader(v) {
  readMembership(v);
  countVotes(grantedVotes[v]);
  from = count;
  computeQuorum();
  if
  :: from >= other ->
     assert(leaderOf[currentTerm[v]] == NONE || leaderOf[currentTerm[v]] == v);
     leaderOf[currentTerm[v]] = v;
     n = 1;
     do
     :: n <= committedEntries ->
        /* A candidate that wins an older term late may lack the entry: it can commit nothing any more. */
        assert(currentTerm[v] <= firstCommittedIn[n] || (logLength[v] >= n && entryTerm[ENTRY(v, n)] == committedTerm[n]));
        n++
     :: else -> break
     od;
     role[v] = LEADER;
     grantedVotes[v] = 0;
     n = 0;
     do
     :: n < VMS -> matchIndex[v * VMS + n] = 0; n++
     :: else -> break
     od;
     appendEntry(v, NO_OP, 0)
  :: else
  fi;
  clearScratch();
}

/* The leader v sends w the first entry that differs or is missing in w's log; w persists the entry and acknowledges it. */
inline replicate(v, w) {
  if
  :: currentTerm[w] < currentTerm[v] -> becomeFollower(w, currentTerm[v])
  :: else -> role[w] = FOLLOWER; grantedVotes[w] = 0
  fi;
  n = 1;
  do
  :: n <= logLength[v] && n <= logLength[w] && entryTerm[ENTRY(v, n)] == entryTerm[ENTRY(w, n)] -> n++
  :: else -> break
  od;
  if
  :: n <= logLength[v] ->
     assert(n > commitIndex[w]);
     do
     :: logLength[w] >= n ->
        entryTerm[ENTRY(w, logLength[w])] = 0;
        entryKind[ENTRY(w, logLength[w])] = 0;
        entryMembers[ENTRY(w, logLength[w])] = 0;
        logLength[w]--
     :: else -> break
     od;
     logLength[w] = n;
     entryTerm[ENTRY(w, n)] = entryTerm[ENTRY(v, n)];
     entryKind[ENTRY(w, n)] = entryKind[ENTRY(v, n)];
     entryMembers[ENTRY(w, n)] = entryMembers[ENTRY(v, n)];
     matchIndex[v * VMS + w] = n
  :: else -> matchIndex[v * VMS + w] = logLength[v]
  fi;
  clearScratch();
}

/* The leader v commits up to the newest entry of its term that a majority holds. */
inline advanceCommitIndex(v) {
  from = logLength[v];
  do
  :: from > commitIndex[v] && entryTerm[ENTRY(v, from)] == currentTerm[v] ->
     readMembership(v);
     count = 0;
     n = 0;
     do
     :: n < VMS ->
        if
        :: (members & BIT(n, generation[n])) && matchIndex[v * VMS + n] >= from -> count++
        :: else
        fi;
        n++
     :: else -> break
     od;
     computeQuorum();
     if
     :: count >= other -> break
     :: else -> from--
     fi
  :: else -> from = 0; break
  od;
  if
  :: from > 0 ->
     commitIndex[v] = from;
     n = 1;
     do
     :: n <= from ->
        assert(n > committedEntries || committedTerm[n] == entryTerm[ENTRY(v, n)]);
        committedTerm[n] = entryTerm[ENTRY(v, n)];
        firstCommittedIn[n] = (firstCommittedIn[n] == 0 -> currentTerm[v] : firstCommittedIn[n]);
        committedMembers =
          (n > committedEntries && entryKind[ENTRY(v, n)] == MEMBERSHIP -> entryMembers[ENTRY(v, n)] : committedMembers);
        n++
     :: else -> break
     od;
     if
     :: from > committedEntries -> committedEntries = from
     :: else
     fi
  :: else
  fi;
  clearScratch();
}

/* The leader v removes the lost disk of w from the voters, or adds its new disk once that has caught up. */
inline changeMembership(v, w) {
  readMembership(v);
  if
  :: n <= commitIndex[v] && commitIndex[v] > 0 && entryTerm[ENTRY(v, commitIndex[v])] == currentTerm[v] ->
     if
     :: generation[w] > 0 && (members & BIT(w, generation[w] - 1)) ->
#ifdef CHANGE_IN_ONE_STEP
        appendEntry(v, MEMBERSHIP, (members & (~BIT(w, generation[w] - 1))) | BIT(w, generation[w]))
#else
        appendEntry(v, MEMBERSHIP, members & (~BIT(w, generation[w] - 1)))
#endif
     :: generation[w] > 0 && !(members & (BIT(w, 0) | BIT(w, 1))) && matchIndex[v * VMS + w] == logLength[v] ->
        appendEntry(v, MEMBERSHIP, members | BIT(w, generation[w]))
     :: else
     fi
  :: else
  fi;
  clearScratch();
}

inline crash(v) {
  role[v] = FOLLOWER;
  grantedVotes[v] = 0;
  commitIndex[v] = 0;
  n = 0;
  do
  :: n < VMS -> matchIndex[v * VMS + n] = 0; n++
  :: else -> break
  od;
  n = 0;
}

inline loseDisk(v) {
  losses++;
  crash(v);
  becomeFollower(v, 0);
  do
  :: logLength[v] > 0 ->
     entryTerm[ENTRY(v, logLength[v])] = 0;
     entryKind[ENTRY(v, logLength[v])] = 0;
     entryMembers[ENTRY(v, logLength[v])] = 0;
     logLength[v]--
  :: else -> break
  od;
#ifndef EMPTY_DISK_VOTES
  generation[v] = 1;
#endif
  n = 0;
  do
  :: n < VMS -> matchIndex[n * VMS + v] = 0; n++
  :: else -> break
  od;
  n = 0;
}

active proctype replicas() {
  byte v, w;
  d_step {
    v = 0;
    do
    :: v < VMS -> votedFor[v] = NONE; v++
    :: else -> break
    od;
    v = 0;
    do
    :: v <= TERMS -> leaderOf[v] = NONE; v++
    :: else -> break
    od;
    v = 0
  }
end:
  do
  :: atomic {
       if
       :: v = 0
       :: v = 1
       :: v = 2
       fi;
       if
       :: w = 0
       :: w = 1
       :: w = 2
       fi;
       if
       :: v == w && role[v] != LEADER && currentTerm[v] < TERMS -> d_step { startElection(v) }
       :: v == w && role[v] == CANDIDATE && logLength[v] < ENTRIES -> d_step { becomeLeader(v) }
       :: v == w && role[v] == LEADER && logLength[v] < ENTRIES -> d_step { appendEntry(v, DATA, 0) }
       :: v == w && role[v] == LEADER -> d_step { advanceCommitIndex(v) }
       :: v == w && role[v] != FOLLOWER -> d_step { crash(v) }
       :: v == w && losses < LOSSES && ALL_DISKS_VOTE && generation[v] == 0 -> d_step { loseDisk(v) }
       :: v != w && role[v] == CANDIDATE && currentTerm[w] <= currentTerm[v] -> d_step { grantVote(v, w) }
       :: v != w && role[v] == LEADER && currentTerm[w] <= currentTerm[v] -> d_step { replicate(v, w) }
       :: v != w && role[v] == LEADER && logLength[v] < ENTRIES -> d_step { changeMembership(v, w) }
       :: else
       fi;
       v = 0;
       w = 0
     }
  od
}
