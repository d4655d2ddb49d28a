/*
 * The agreement of the control replicas: elections, replication, commitment, loss of disks and their replacement by
 * single-server changes of membership. A replica is a VM and a generation of its disk. Each step is atomic; the order of steps
 * is free, so messages may be late, repeated or lost.
 *
 * Claims, asserted in the steps: a term has one leader, a leader holds every entry that leaders of earlier terms committed, and
 * no two replicas commit different entries at the same index.
 *
 * -DEMPTY_DISK_VOTES seeds a mistake: a disk that was lost comes back under its old identity.
 * -DCHANGE_IN_ONE_STEP seeds another: a lost replica is replaced by its successor in one change of membership.
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
#define NOBODY 9

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* The kind of an entry: a leader's first one, data, or a membership in which the bits say who votes. */
#define START 0
#define DATA 1
#define MEMBERS 2

/* The bit of generation g of VM v. */
#define BIT(v, g) (1 << ((v) * 2 + (g)))
#define FOUNDERS (BIT(0, 0) | BIT(1, 0) | BIT(2, 0))
#define AT(v, n) ((v) * (ENTRIES + 1) + (n))

byte term[VMS];
byte vote[VMS];
byte role[VMS];
byte votes[VMS];
byte generation[VMS];
byte length[VMS];
byte committed[VMS];
byte matched[VMS * VMS];
byte entryTerm[VMS * (ENTRIES + 1)];
byte entryKind[VMS * (ENTRIES + 1)];
byte entryMembers[VMS * (ENTRIES + 1)];

/* What was ever committed, by the leader of which term first, and who ever led. */
byte agreed;
byte agreedTerm[ENTRIES + 1];
byte agreedBy[ENTRIES + 1];
byte agreedMembers = FOUNDERS;
byte leaderOf[TERMS + 1];
byte losses;

/* No disk is missing: each VM's present one votes. Only then may another be lost, else a majority could be. */
#define INTACT \
  ((agreedMembers & BIT(0, generation[0])) && (agreedMembers & BIT(1, generation[1])) && (agreedMembers & BIT(2, generation[2])))

/* Scratch; always zero between steps, so that it adds no states. */
byte members, other, count, n, from;

#define LAST_TERM(v) entryTerm[AT(v, length[v])]

/* Sets members to the newest membership in the log of v, and n to its index. */
inline membersOf(v) {
  n = length[v];
  do
  :: n > 0 && entryKind[AT(v, n)] != MEMBERS -> n--
  :: else -> break
  od;
  members = (n == 0 -> FOUNDERS : entryMembers[AT(v, n)]);
}

/* Sets count to the number of votes in the bits b that members counts. */
inline countIn(b) {
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

/* Sets other to the size of a quorum of members. */
inline quorumOf() {
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

inline clear() { members = 0; other = 0; count = 0; n = 0; from = 0 }

inline follow(v, t) {
  term[v] = t;
  vote[v] = NOBODY;
  role[v] = FOLLOWER;
  votes[v] = 0;
}

inline addEntry(v, k, m) {
  length[v]++;
  entryTerm[AT(v, length[v])] = term[v];
  entryKind[AT(v, length[v])] = k;
  entryMembers[AT(v, length[v])] = m;
  matched[v * VMS + v] = length[v];
}

inline stand(v) {
  membersOf(v);
  if
  :: (members & BIT(v, generation[v])) ->
     term[v]++;
     vote[v] = v;
     role[v] = CANDIDATE;
     votes[v] = BIT(v, generation[v])
  :: else
  fi;
  clear();
}

/* w votes for the candidate v. */
inline giveVote(v, w) {
  if
  :: term[w] < term[v] -> follow(w, term[v])
  :: else
  fi;
  if
  :: term[w] == term[v] && (vote[w] == NOBODY || vote[w] == v) &&
     (LAST_TERM(v) > LAST_TERM(w) || (LAST_TERM(v) == LAST_TERM(w) && length[v] >= length[w])) ->
     vote[w] = v;
     votes[v] = votes[v] | BIT(w, generation[w])
  :: else
  fi;
}

inline lead(v) {
  membersOf(v);
  countIn(votes[v]);
  from = count;
  quorumOf();
  if
  :: from >= other ->
     assert(leaderOf[term[v]] == NOBODY || leaderOf[term[v]] == v);
     leaderOf[term[v]] = v;
     n = 1;
     do
     :: n <= agreed ->
        /* A late winner of an older term may lack it: it can commit nothing any more. */
        assert(term[v] <= agreedBy[n] || (length[v] >= n && entryTerm[AT(v, n)] == agreedTerm[n]));
        n++
     :: else -> break
     od;
     role[v] = LEADER;
     votes[v] = 0;
     n = 0;
     do
     :: n < VMS -> matched[v * VMS + n] = 0; n++
     :: else -> break
     od;
     addEntry(v, START, 0)
  :: else
  fi;
  clear();
}

/* The leader v sends w the first entry that differs or that w lacks; w takes it to its disk and answers. */
inline send(v, w) {
  if
  :: term[w] < term[v] -> follow(w, term[v])
  :: else -> role[w] = FOLLOWER; votes[w] = 0
  fi;
  n = 1;
  do
  :: n <= length[v] && n <= length[w] && entryTerm[AT(v, n)] == entryTerm[AT(w, n)] -> n++
  :: else -> break
  od;
  if
  :: n <= length[v] ->
     assert(n > committed[w]);
     do
     :: length[w] >= n ->
        entryTerm[AT(w, length[w])] = 0;
        entryKind[AT(w, length[w])] = 0;
        entryMembers[AT(w, length[w])] = 0;
        length[w]--
     :: else -> break
     od;
     length[w] = n;
     entryTerm[AT(w, n)] = entryTerm[AT(v, n)];
     entryKind[AT(w, n)] = entryKind[AT(v, n)];
     entryMembers[AT(w, n)] = entryMembers[AT(v, n)];
     matched[v * VMS + w] = n
  :: else -> matched[v * VMS + w] = length[v]
  fi;
  clear();
}

/* The leader v commits the newest entry of its term that a quorum holds. */
inline commit(v) {
  from = length[v];
  do
  :: from > committed[v] && entryTerm[AT(v, from)] == term[v] ->
     membersOf(v);
     count = 0;
     n = 0;
     do
     :: n < VMS ->
        if
        :: (members & BIT(n, generation[n])) && matched[v * VMS + n] >= from -> count++
        :: else
        fi;
        n++
     :: else -> break
     od;
     quorumOf();
     if
     :: count >= other -> break
     :: else -> from--
     fi
  :: else -> from = 0; break
  od;
  if
  :: from > 0 ->
     committed[v] = from;
     n = 1;
     do
     :: n <= from ->
        assert(n > agreed || agreedTerm[n] == entryTerm[AT(v, n)]);
        agreedTerm[n] = entryTerm[AT(v, n)];
        agreedBy[n] = (agreedBy[n] == 0 -> term[v] : agreedBy[n]);
        agreedMembers = (n > agreed && entryKind[AT(v, n)] == MEMBERS -> entryMembers[AT(v, n)] : agreedMembers);
        n++
     :: else -> break
     od;
     if
     :: from > agreed -> agreed = from
     :: else
     fi
  :: else
  fi;
  clear();
}

/* The leader v removes the lost disk of w, or lets its new one vote once it holds everything. */
inline changeMembers(v, w) {
  membersOf(v);
  if
  :: n <= committed[v] && committed[v] > 0 && entryTerm[AT(v, committed[v])] == term[v] ->
     if
     :: generation[w] > 0 && (members & BIT(w, generation[w] - 1)) ->
#ifdef CHANGE_IN_ONE_STEP
        addEntry(v, MEMBERS, (members & (~BIT(w, generation[w] - 1))) | BIT(w, generation[w]))
#else
        addEntry(v, MEMBERS, members & (~BIT(w, generation[w] - 1)))
#endif
     :: generation[w] > 0 && !(members & (BIT(w, 0) | BIT(w, 1))) && matched[v * VMS + w] == length[v] ->
        addEntry(v, MEMBERS, members | BIT(w, generation[w]))
     :: else
     fi
  :: else
  fi;
  clear();
}

inline crash(v) {
  role[v] = FOLLOWER;
  votes[v] = 0;
  committed[v] = 0;
  n = 0;
  do
  :: n < VMS -> matched[v * VMS + n] = 0; n++
  :: else -> break
  od;
  n = 0;
}

inline loseDisk(v) {
  losses++;
  crash(v);
  follow(v, 0);
  do
  :: length[v] > 0 ->
     entryTerm[AT(v, length[v])] = 0;
     entryKind[AT(v, length[v])] = 0;
     entryMembers[AT(v, length[v])] = 0;
     length[v]--
  :: else -> break
  od;
#ifndef EMPTY_DISK_VOTES
  generation[v] = 1;
#endif
  n = 0;
  do
  :: n < VMS -> matched[n * VMS + v] = 0; n++
  :: else -> break
  od;
  n = 0;
}

active proctype replicas() {
  byte v, w;
  d_step {
    v = 0;
    do
    :: v < VMS -> vote[v] = NOBODY; v++
    :: else -> break
    od;
    v = 0;
    do
    :: v <= TERMS -> leaderOf[v] = NOBODY; v++
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
       :: v == w && role[v] != LEADER && term[v] < TERMS -> d_step { stand(v) }
       :: v == w && role[v] == CANDIDATE && length[v] < ENTRIES -> d_step { lead(v) }
       :: v == w && role[v] == LEADER && length[v] < ENTRIES -> d_step { addEntry(v, DATA, 0) }
       :: v == w && role[v] == LEADER -> d_step { commit(v) }
       :: v == w && role[v] != FOLLOWER -> d_step { crash(v) }
       :: v == w && losses < LOSSES && INTACT && generation[v] == 0 -> d_step { loseDisk(v) }
       :: v != w && role[v] == CANDIDATE && term[w] <= term[v] -> d_step { giveVote(v, w) }
       :: v != w && role[v] == LEADER && term[w] <= term[v] -> d_step { send(v, w) }
       :: v != w && role[v] == LEADER && length[v] < ENTRIES -> d_step { changeMembers(v, w) }
       :: else
       fi;
       v = 0;
       w = 0
     }
  od
}
