/*
 * Load commands: requests of the leader to an endpoint to load other weights. Two leaders, one after the other, send commands
 * based on what the endpoint last reported. A command may be lost, and may be performed long after it was sent, when newer
 * commands have already been performed. The endpoint may restart under the same name: it keeps its weights and forgets which
 * commands and terms it has received.
 *
 * Claims, asserted in the steps: weights never go back to an older version, and no command of an earlier leader arrives after
 * one of a later leader.
 *
 * -DNO_COUNT_CHECK seeds a fault: commands don't carry the number of commands that the endpoint had performed when it reported.
 * -DNO_INCARNATION_CHECK seeds another: commands don't name the incarnation of the endpoint that they are meant for.
 * -DNO_GRACE_PERIOD seeds a third: a new leader doesn't wait until commands of the previous leader can no longer be in flight.
 */

#ifndef VERSIONS
#define VERSIONS 4
#endif
#ifndef INCARNATIONS
#define INCARNATIONS 3
#endif
#define COMMANDS 3
#define LEADERS 2

/* The endpoint: the weights it serves, the commands it has performed, its incarnation, the highest term among all arrived commands. */
byte weights = 1;
byte commandCount;
byte incarnation;
byte highestTerm;

/* The newest weights that an operator named, and the current leader. */
byte wantedWeights = 1;
byte leader = 1;

/* The endpoint's last report to each leader. */
byte reportedWeights[LEADERS + 1];
byte reportedCount[LEADERS + 1];
byte reportedIncarnation[LEADERS + 1];

/* Commands in flight; term 0 marks a free slot. A command that has arrived may be performed later. */
byte commandTerm[COMMANDS];
bool commandArrived[COMMANDS];
byte commandWeights[COMMANDS];
byte commandExpectedCount[COMMANDS];
byte commandIncarnation[COMMANDS];

inline discard(i) {
  commandTerm[i] = 0;
  commandArrived[i] = false;
  commandWeights[i] = 0;
  commandExpectedCount[i] = 0;
  commandIncarnation[i] = 0
}

#ifdef NO_COUNT_CHECK
#define COUNT_MATCHES(i) true
#else
#define COUNT_MATCHES(i) (commandExpectedCount[i] == commandCount)
#endif

#ifdef NO_INCARNATION_CHECK
#define INCARNATION_MATCHES(i) true
#else
#define INCARNATION_MATCHES(i) (commandIncarnation[i] == incarnation)
#endif

#define IN_FLIGHT_IN_TERM_1(i) (commandTerm[i] == 1 && !commandArrived[i])

#ifdef NO_GRACE_PERIOD
#define GRACE_PERIOD_OVER true
#else
#define GRACE_PERIOD_OVER (leader == 1 || !(IN_FLIGHT_IN_TERM_1(0) || IN_FLIGHT_IN_TERM_1(1) || IN_FLIGHT_IN_TERM_1(2)))
#endif

inline arrive(i) {
  assert(commandTerm[i] >= highestTerm);
  highestTerm = commandTerm[i];
  commandArrived[i] = true
}

inline perform(i) {
  if
  :: COUNT_MATCHES(i) && INCARNATION_MATCHES(i) ->
     assert(commandWeights[i] > weights);
     weights = commandWeights[i];
     commandCount++
  :: else
  fi;
  discard(i)
}

inline sendCommand(i) {
  commandTerm[i] = leader;
  commandWeights[i] = wantedWeights;
  commandExpectedCount[i] = reportedCount[leader];
  commandIncarnation[i] = reportedIncarnation[leader]
}

active proctype endpoint_and_leaders() {
  byte i;
  do
  :: atomic { wantedWeights < VERSIONS -> wantedWeights++ }
  :: atomic { leader < LEADERS -> leader++ }
  :: atomic { incarnation + 1 < INCARNATIONS -> incarnation++; commandCount = 0 }
  :: atomic { reportedWeights[leader] = weights; reportedCount[leader] = commandCount; reportedIncarnation[leader] = incarnation }
  :: atomic {
       reportedWeights[leader] > 0 && reportedWeights[leader] < wantedWeights && GRACE_PERIOD_OVER ->
       i = 0;
       do
       :: i < COMMANDS && commandTerm[i] != 0 -> i++
       :: else -> break
       od;
       if
       :: i < COMMANDS -> sendCommand(i)
       :: else
       fi;
       i = 0
     }
  :: atomic { commandTerm[0] != 0 && !commandArrived[0] -> arrive(0) }
  :: atomic { commandTerm[1] != 0 && !commandArrived[1] -> arrive(1) }
  :: atomic { commandTerm[2] != 0 && !commandArrived[2] -> arrive(2) }
  :: atomic { commandArrived[0] -> perform(0) }
  :: atomic { commandArrived[1] -> perform(1) }
  :: atomic { commandArrived[2] -> perform(2) }
  :: atomic { commandTerm[0] != 0 -> discard(0) }
  :: atomic { commandTerm[1] != 0 -> discard(1) }
  :: atomic { commandTerm[2] != 0 -> discard(2) }
  od
}
