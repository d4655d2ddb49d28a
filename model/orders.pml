/*
 * Orders to an endpoint to load other weights. Two leaders, one after the other, order by what the endpoint last reported; an
 * order may be lost, and may be carried out long after it was sent, when newer ones were. The endpoint may start again under the
 * same name: it keeps its weights and forgets the orders and terms that it saw.
 *
 * Claims, asserted in the steps: weights never go back, and no order of an earlier leader arrives after one of a later leader.
 *
 * -DNO_COUNT seeds a mistake: orders don't say how many orders the endpoint had taken when it reported.
 * -DNO_LIFE seeds another: orders don't name the life of the endpoint that they are for.
 * -DNO_REST seeds a third: a new leader does not wait until the orders of the one before it can't be on their way.
 */

#ifndef NAMES
#define NAMES 4
#endif
#ifndef LIVES
#define LIVES 3
#endif
#define ORDERS 3
#define LEADERS 2

/* The endpoint: what it serves, how many orders it took, its life, and the highest term of all orders that arrived. */
byte weights = 1;
byte taken;
byte life;
byte highest;

/* The newest weights that were named, and which leader leads. */
byte named = 1;
byte leader = 1;

/* What each leader last read of the endpoint. */
byte seenWeights[LEADERS + 1];
byte seenTaken[LEADERS + 1];
byte seenLife[LEADERS + 1];

/* Orders under way; one of term 0 is none. One that arrived may be carried out later. */
byte orderTerm[ORDERS];
bool orderArrived[ORDERS];
byte orderWeights[ORDERS];
byte orderTaken[ORDERS];
byte orderLife[ORDERS];

inline forget(i) {
  orderTerm[i] = 0;
  orderArrived[i] = false;
  orderWeights[i] = 0;
  orderTaken[i] = 0;
  orderLife[i] = 0
}

#ifdef NO_COUNT
#define COUNT_FITS(i) true
#else
#define COUNT_FITS(i) (orderTaken[i] == taken)
#endif

#ifdef NO_LIFE
#define LIFE_FITS(i) true
#else
#define LIFE_FITS(i) (orderLife[i] == life)
#endif

#define ON_ITS_WAY(i) (orderTerm[i] == 1 && !orderArrived[i])

#ifdef NO_REST
#define RESTED true
#else
#define RESTED (leader == 1 || !(ON_ITS_WAY(0) || ON_ITS_WAY(1) || ON_ITS_WAY(2)))
#endif

inline arrive(i) {
  assert(orderTerm[i] >= highest);
  highest = orderTerm[i];
  orderArrived[i] = true
}

inline carryOut(i) {
  if
  :: COUNT_FITS(i) && LIFE_FITS(i) ->
     assert(orderWeights[i] > weights);
     weights = orderWeights[i];
     taken++
  :: else
  fi;
  forget(i)
}

inline give(i) {
  orderTerm[i] = leader;
  orderWeights[i] = named;
  orderTaken[i] = seenTaken[leader];
  orderLife[i] = seenLife[leader]
}

active proctype history() {
  byte i;
  do
  :: atomic { named < NAMES -> named++ }
  :: atomic { leader < LEADERS -> leader++ }
  :: atomic { life + 1 < LIVES -> life++; taken = 0 }
  :: atomic { seenWeights[leader] = weights; seenTaken[leader] = taken; seenLife[leader] = life }
  :: atomic {
       seenWeights[leader] > 0 && seenWeights[leader] < named && RESTED ->
       i = 0;
       do
       :: i < ORDERS && orderTerm[i] != 0 -> i++
       :: else -> break
       od;
       if
       :: i < ORDERS -> give(i)
       :: else
       fi;
       i = 0
     }
  :: atomic { orderTerm[0] != 0 && !orderArrived[0] -> arrive(0) }
  :: atomic { orderTerm[1] != 0 && !orderArrived[1] -> arrive(1) }
  :: atomic { orderTerm[2] != 0 && !orderArrived[2] -> arrive(2) }
  :: atomic { orderArrived[0] -> carryOut(0) }
  :: atomic { orderArrived[1] -> carryOut(1) }
  :: atomic { orderArrived[2] -> carryOut(2) }
  :: atomic { orderTerm[0] != 0 -> forget(0) }
  :: atomic { orderTerm[1] != 0 -> forget(1) }
  :: atomic { orderTerm[2] != 0 -> forget(2) }
  od
}
