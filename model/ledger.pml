/*
 * The ledger of once-only calls: callers that send a call again through any router; routers that freeze, stop and restart; a
 * leader of the control replicas that changes; and a service that runs each call that reaches it.
 *
 * Claims, asserted in the steps: the call runs at most once, and no caller gets "not run" for a request that ran or will run.
 *
 * -DPASSES_BY_TIMEOUT seeds a fault: an entry whose owner is silent passes to the next request for the same call.
 * -DSENDS_BEFORE_LEDGER seeds another: the router sends the call before the ledger has answered its request.
 */

#ifndef SENDS
#define SENDS 3
#endif
#define ROUTERS 2
#define NONE 0

/* The states of a router's request. Each request has a number, which identifies the owner in the ledger. */
#define IDLE 0
#define BEGINNING 1
#define OWNING 2
#define SENT 3
#define RELEASING 4

/* The states of the ledger's entry. */
#define FREE 0
#define BEGUN 1
#define RAN 2
#define LOST 3

/* Messages to the ledger; each carries the number of the request. */
mtype = { begin, release, finish, lose };

chan toLedger = [2] of { mtype, byte };

byte entry, owner;
byte state[ROUTERS];
byte request[ROUTERS];
/* The ledger's reply to each router: 0 none yet, 1 the request owns the entry, 2 it doesn't. */
byte ledgerReply[ROUTERS];
/* Calls that were written and may still reach the service, by the number of their request. */
byte inFlight[SENDS + 1];
byte answeredNotRun[SENDS + 1];
byte ran[SENDS + 1];
byte requests, runs;

inline reset(r) { state[r] = IDLE; request[r] = 0; ledgerReply[r] = 0 }

inline reply(verdict) {
  n = 0;
  do
  :: n < ROUTERS ->
     if
     :: state[n] == BEGINNING && request[n] == number -> ledgerReply[n] = verdict
     :: else
     fi;
     n++
  :: else -> break
  od;
  n = 0;
}

/* The replicated state machine: it applies one committed message after the other. */
active proctype ledger() {
  byte number, n;
  mtype kind;
end:
  do
  :: atomic {
       toLedger?kind(number) ->
       if
       :: kind == begin && entry == FREE -> entry = BEGUN; owner = number; reply(1)
       :: kind == begin && entry == BEGUN && owner == number -> reply(1)
#ifdef PASSES_BY_TIMEOUT
       :: kind == begin && entry == BEGUN && owner != number -> owner = number; reply(1)
#endif
       :: kind == begin && entry != FREE && !(entry == BEGUN && owner == number) -> reply(2)
       :: kind == release && entry == BEGUN && owner == number -> entry = FREE; owner = NONE
       :: kind == release && !(entry == BEGUN && owner == number) -> skip
       :: kind == finish && owner == number -> entry = RAN
       :: kind == lose && owner == number && entry == BEGUN -> entry = LOST
       :: else -> skip
       fi;
       kind = 0;
       number = 0
     }
  :: atomic {
       /* The leader changes before it has committed the message: the message is lost. */
       toLedger?kind(number) -> kind = 0; number = 0
     }
  od
}

proctype router(byte r) {
end:
  do
  /* A caller sends the call, for the first time or as a retry. */
  :: atomic { state[r] == IDLE && requests < SENDS -> requests++; request[r] = requests; state[r] = BEGINNING }
  /* The router asks the ledger to begin the call, and repeats this until it gets a reply. */
  :: atomic { state[r] == BEGINNING && ledgerReply[r] == 0 && nfull(toLedger) -> toLedger!begin(request[r]) }
#ifdef SENDS_BEFORE_LEDGER
  :: atomic { state[r] == BEGINNING && ledgerReply[r] == 0 -> inFlight[request[r]] = 1; state[r] = SENT }
#endif
  :: atomic { state[r] == BEGINNING && ledgerReply[r] == 1 -> state[r] = OWNING }
  /* The ledger replies that the call ran, is running or may have run; the caller gets that reply. */
  :: atomic { state[r] == BEGINNING && ledgerReply[r] == 2 -> reset(r) }
  /* No reply in time: the caller gets "not run", and the entry is released in case the ledger still creates it. */
  :: atomic { state[r] == BEGINNING && ledgerReply[r] == 0 && nfull(toLedger) ->
       assert(ran[request[r]] == 0);
       answeredNotRun[request[r]] = 1;
       state[r] = RELEASING }
  /* The call is sent; a freeze of the router is any delay of this step. */
  :: atomic { state[r] == OWNING -> inFlight[request[r]] = 1; state[r] = SENT }
  /* No connection to the service: not a byte was written, so the caller gets "not run". */
  :: atomic { state[r] == OWNING && nfull(toLedger) ->
       assert(ran[request[r]] == 0);
       answeredNotRun[request[r]] = 1;
       state[r] = RELEASING }
  /* The release is sent; it may be lost, so it is repeated until it has taken effect. */
  :: atomic { state[r] == RELEASING && nfull(toLedger) -> toLedger!release(request[r]) }
  :: atomic { state[r] == RELEASING && !(entry == BEGUN && owner == request[r]) -> reset(r) }
  /* The answer arrived, or the connection broke and the outcome is unknown. */
  :: atomic { state[r] == SENT && ran[request[r]] && nfull(toLedger) -> toLedger!finish(request[r]); reset(r) }
  :: atomic { state[r] == SENT && nfull(toLedger) -> toLedger!lose(request[r]); reset(r) }
  /* The process may stop at any point; a call that was written may still reach the service. */
  :: atomic { state[r] != IDLE -> reset(r) }
  od
}

/* A call that was written may reach the service at any later time, or never. */
active proctype service() {
  byte n;
end:
  do
  :: atomic {
       n = 1;
       do
       :: n <= SENDS && inFlight[n] == 0 -> n++
       :: n < SENDS && inFlight[n] == 1 -> n++
       :: n <= SENDS && inFlight[n] == 1 -> break
       :: n > SENDS -> break
       od;
       if
       :: n <= SENDS ->
          inFlight[n] = 0;
          runs++;
          ran[n] = 1;
          assert(runs <= 1);
          assert(answeredNotRun[n] == 0)
       :: else
       fi;
       n = 0
     }
  od
}

init {
  atomic { run router(0); run router(1) }
}
