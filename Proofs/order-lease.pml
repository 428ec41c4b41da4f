/* The lease of LibRelay that permits orders to engines: one object in the
 * store, two instances that consider themselves to be the planner, and a store
 * that may be restored from an older copy.
 *
 * A write may be executed late, and its response may be lost. The clock may
 * advance at any point, so an instance may be suspended anywhere. The store
 * compares revisions only; eras are known from its responses.
 *
 * Defining NO_... removes a guard; Meta/model-mutations.sh checks which guards
 * the property depends on.
 */

#define INSTANCES 2
#define NONE 9
#define VALIDITY 1   /* ticks for which orders may be sent after a write */
#define TAKEOVER 3   /* ticks for which a lease must be unchanged */
#define MIN_GAP 2    /* ticks between orders of different instances */
#define MAX_TIME 7
#define MAX_REVISION 4

#ifdef NO_TAKEOVER_WAIT
#define IS_RELEASED(me) true
#else
#define IS_RELEASED(me) (clock >= since[me] + TAKEOVER)
#endif

#ifdef NO_SUSPENSION
#define IS_SUSPENDED(me) false
#else
#define IS_SUSPENDED(me) (clock < suspendedUntil[me])
#endif

#ifdef NO_VALIDITY
#define IS_VALID(me) true
#else
#define IS_VALID(me) (clock < validUntil[me])
#endif

#ifdef NO_ERA_CHECK
#define IS_SAME_ERA(me) true
#else
#define IS_SAME_ERA(me) (known[me] && responseEra[me] == eraOf[me])
#endif

#ifdef NO_ERA_IN_FENCE
#define FENCE(e, r) (r)
#else
#define FENCE(e, r) ((e) * 16 + (r))
#endif

byte clock = 0;

/* The store, and the copy that it may be restored from. */
byte era = 0;
byte revision = 1;
byte holder = NONE;
byte copyRevision = 1;
byte copyHolder = NONE;

/* What each instance knows. */
byte seenEra[INSTANCES];
bool known[INSTANCES];
byte eraOf[INSTANCES];
byte revisionOf[INSTANCES];
byte holderOf[INSTANCES];
byte since[INSTANCES];
byte suspendedUntil[INSTANCES];
byte validUntil[INSTANCES];

/* A write on its way, and its response. */
bool writing[INSTANCES];
byte expected[INSTANCES];
bool responded[INSTANCES];
byte responseEra[INSTANCES];
byte responseRevision[INSTANCES];

/* The engine. */
byte lastSender = NONE;
byte lastAt = 0;
byte lastFence = 0;
bool violated = false;

/* Values that no longer matter are cleared, which keeps the state space small. */
inline forget(me) {
  known[me] = false;
  eraOf[me] = 0;
  revisionOf[me] = 0;
  holderOf[me] = 0;
  since[me] = 0;
  validUntil[me] = 0
}

inline clearPast(me) {
  if
  :: clock >= since[me] + TAKEOVER -> since[me] = 0
  :: else -> skip
  fi;
  if
  :: clock >= suspendedUntil[me] -> suspendedUntil[me] = 0
  :: else -> skip
  fi;
  if
  :: clock >= validUntil[me] -> validUntil[me] = 0
  :: else -> skip
  fi
}

inline observeEra(me, seen) {
  if
  :: seen > seenEra[me] ->
     seenEra[me] = seen;
     forget(me);
     suspendedUntil[me] = clock + TAKEOVER
  :: else -> skip
  fi
}

proctype Instance(byte me) {
end:
  do
  /* Read the lease. */
  :: atomic {
       clock < MAX_TIME && !writing[me] && !responded[me] &&
       (!known[me] || eraOf[me] != era || revisionOf[me] != revision) ->
       observeEra(me, era);
       known[me] = true;
       eraOf[me] = era;
       revisionOf[me] = revision;
       holderOf[me] = holder;
       since[me] = clock
     }
  /* Send a conditional write. */
  :: atomic {
       clock < MAX_TIME && known[me] && !writing[me] && !responded[me] &&
       !IS_SUSPENDED(me) &&
       (holderOf[me] == NONE || holderOf[me] == me || IS_RELEASED(me)) ->
       writing[me] = true;
       expected[me] = revisionOf[me];
       validUntil[me] = clock + VALIDITY
     }
  /* The store executes it, at any later time. */
  :: atomic {
       writing[me] ->
       writing[me] = false;
       if
       :: expected[me] == revision && revision < MAX_REVISION ->
          revision++;
          holder = me;
          if
          :: responded[me] = true;
             responseEra[me] = era;
             responseRevision[me] = revision
          :: forget(me)                 /* the response is lost */
          fi
       :: else -> forget(me)
       fi;
       expected[me] = 0
     }
  /* Send an order under a write that has succeeded. */
  :: atomic {
       responded[me] ->
#ifndef NO_ERA_CHECK
       observeEra(me, responseEra[me]);
#endif
       if
       :: IS_SAME_ERA(me) && IS_VALID(me) ->
          if
          :: lastSender != NONE && lastSender != me &&
             clock < lastAt + MIN_GAP -> violated = true
          :: FENCE(responseEra[me], responseRevision[me]) < lastFence ->
             violated = true
          :: lastSender != NONE && lastSender != me &&
             FENCE(responseEra[me], responseRevision[me]) == lastFence ->
             violated = true
          :: else -> skip
          fi;
          lastSender = me;
          lastAt = clock;
          lastFence = FENCE(responseEra[me], responseRevision[me])
       :: else -> skip
       fi;
       /* Without a response in the same era nothing is known. */
       if
       :: IS_SAME_ERA(me) ->
          eraOf[me] = responseEra[me];
          revisionOf[me] = responseRevision[me];
          holderOf[me] = me;
          since[me] = clock
       :: else -> forget(me)
       fi;
       responded[me] = false;
       responseEra[me] = 0;
       responseRevision[me] = 0;
       validUntil[me] = 0
     }
  od
}

active proctype Clock() {
end:
  do
  :: atomic {
       clock < MAX_TIME ->
       clock++;
       clearPast(0);
       clearPast(1);
       if
       :: clock >= lastAt + MIN_GAP -> lastAt = 0
       :: else -> skip
       fi
     }
  od
}

active proctype Restore() {
end:
  do
  :: atomic { era == 0 -> copyRevision = revision; copyHolder = holder }
  :: atomic {
       era == 0 ->
       era++;
       revision = copyRevision;
       holder = copyHolder;
       copyRevision = 0;
       copyHolder = 0
     }
  od
}

init {
  atomic {
    run Instance(0);
    run Instance(1)
  }
}

ltl ordersOfOneHolder { [] !violated }
