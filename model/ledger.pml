/*
 * The once-only ledger: callers that send a call again through any router, routers that freeze, stop and come back, a leader of
 * the control replicas that changes, and a service that runs what reaches it.
 *
 * Claims, asserted in the steps: the call runs at most once, and nobody is told "not run" of a request that ran or will run.
 *
 * -DPASSES_BY_TIMEOUT seeds a mistake: an entry whose owner is silent passes to the next who asks.
 * -DSENDS_BEFORE_LEDGER seeds another: the router sends the call while its question to the ledger is still open.
 */

#ifndef SENDS
#define SENDS 3
#endif
#define ROUTERS 2
#define NOBODY 0

/* Where a router is with its request. A request has a number, which is the owner in the ledger. */
#define IDLE 0
#define ASKING 1
#define OWNING 2
#define SENT 3
#define RELEASING 4

/* The ledger's entry. */
#define FREE 0
#define BEGUN 1
#define RAN 2
#define LOST 3

/* Questions to the ledger; each carries the number of the request. */
mtype = { begin, release, finish, lose };

chan toLedger = [2] of { mtype, byte };

byte entry, owner;
byte state[ROUTERS];
byte request[ROUTERS];
/* What the ledger answered to the question of a router: 0 nothing yet, 1 it is yours, 2 not yours. */
byte answer[ROUTERS];
/* A call that a router wrote and that may still reach the service, by the number of its request. */
byte onTheWay[SENDS + 1];
byte saidNotRun[SENDS + 1];
byte ran[SENDS + 1];
byte requests, runs;

inline forget(r) { state[r] = IDLE; request[r] = 0; answer[r] = 0 }

inline reply(what) {
  n = 0;
  do
  :: n < ROUTERS ->
     if
     :: state[n] == ASKING && request[n] == asked -> answer[n] = what
     :: else
     fi;
     n++
  :: else -> break
  od;
  n = 0;
}

/* The agreed state machine: it takes one committed question after the other. */
active proctype ledger() {
  byte asked, n;
  mtype kind;
end:
  do
  :: atomic {
       toLedger?kind(asked) ->
       if
       :: kind == begin && entry == FREE -> entry = BEGUN; owner = asked; reply(1)
       :: kind == begin && entry == BEGUN && owner == asked -> reply(1)
#ifdef PASSES_BY_TIMEOUT
       :: kind == begin && entry == BEGUN && owner != asked -> owner = asked; reply(1)
#endif
       :: kind == begin && entry != FREE && !(entry == BEGUN && owner == asked) -> reply(2)
       :: kind == release && entry == BEGUN && owner == asked -> entry = FREE; owner = NOBODY
       :: kind == release && !(entry == BEGUN && owner == asked) -> skip
       :: kind == finish && owner == asked -> entry = RAN
       :: kind == lose && owner == asked && entry == BEGUN -> entry = LOST
       :: else -> skip
       fi;
       kind = 0;
       asked = 0
     }
  :: atomic {
       /* The leader changes before it committed the question: the question is lost. */
       toLedger?kind(asked) -> kind = 0; asked = 0
     }
  od
}

proctype router(byte r) {
end:
  do
  /* A caller sends the call, for the first time or again. */
  :: atomic { state[r] == IDLE && requests < SENDS -> requests++; request[r] = requests; state[r] = ASKING }
  /* The question is asked, and asked again. */
  :: atomic { state[r] == ASKING && answer[r] == 0 && nfull(toLedger) -> toLedger!begin(request[r]) }
#ifdef SENDS_BEFORE_LEDGER
  :: atomic { state[r] == ASKING && answer[r] == 0 -> onTheWay[request[r]] = 1; state[r] = SENT }
#endif
  :: atomic { state[r] == ASKING && answer[r] == 1 -> state[r] = OWNING }
  /* Told that it ran, is running or may have run: the caller hears just that. */
  :: atomic { state[r] == ASKING && answer[r] == 2 -> forget(r) }
  /* The ledger can't be reached in time: not run, and the entry is released should it be made later. */
  :: atomic { state[r] == ASKING && answer[r] == 0 && nfull(toLedger) ->
       assert(ran[request[r]] == 0);
       saidNotRun[request[r]] = 1;
       state[r] = RELEASING }
  /* A freeze is any time spent here; then the call goes out. */
  :: atomic { state[r] == OWNING -> onTheWay[request[r]] = 1; state[r] = SENT }
  /* No connection: not a byte was written. */
  :: atomic { state[r] == OWNING && nfull(toLedger) ->
       assert(ran[request[r]] == 0);
       saidNotRun[request[r]] = 1;
       state[r] = RELEASING }
  /* The release is sent; it may be lost, and is then sent again. */
  :: atomic { state[r] == RELEASING && nfull(toLedger) -> toLedger!release(request[r]) }
  :: atomic { state[r] == RELEASING && !(entry == BEGUN && owner == request[r]) -> forget(r) }
  /* The answer came, or the connection broke. */
  :: atomic { state[r] == SENT && ran[request[r]] && nfull(toLedger) -> toLedger!finish(request[r]); forget(r) }
  :: atomic { state[r] == SENT && nfull(toLedger) -> toLedger!lose(request[r]); forget(r) }
  /* The process stops at any point; a call that was written may still arrive. */
  :: atomic { state[r] != IDLE -> forget(r) }
  od
}

/* What was written reaches the service sooner or later, or never. */
active proctype service() {
  byte n;
end:
  do
  :: atomic {
       n = 1;
       do
       :: n <= SENDS && onTheWay[n] == 0 -> n++
       :: n < SENDS && onTheWay[n] == 1 -> n++
       :: n <= SENDS && onTheWay[n] == 1 -> break
       :: n > SENDS -> break
       od;
       if
       :: n <= SENDS ->
          onTheWay[n] = 0;
          runs++;
          ran[n] = 1;
          assert(runs <= 1);
          assert(saidNotRun[n] == 0)
       :: else
       fi;
       n = 0
     }
  od
}

init {
  atomic { run router(0); run router(1) }
}
