/* Authority over one engine: a shard object with a lease, a fencing number and
 * one recorded order; two holders that may pause at any point; an engine that
 * checks the fencing number, or ignores it (CHECKS_FENCING 0).
 *
 * Time is abstract: a lease may lapse for an observer at any moment, whatever
 * the holder does. This is weaker than the product, where the holder stops
 * before the observer may act, so what holds here holds there.
 *
 * A guard is removed by defining NO_..., and Meta/model-mutations.sh shows
 * that the property then fails.
 */

#ifndef CHECKS_FENCING
#define CHECKS_FENCING 1
#endif

#ifdef NO_ORDER_NUMBERS
#define IS_REPEATED(number) false
#else
#define IS_REPEATED(number) (number == engineOrder || (changing && changingOrder == number))
#endif

#ifdef NO_INTENT_FOLLOWING
#define HAS_INTENT false
#else
#define HAS_INTENT (order != 0)
#endif

#ifdef NO_FORMER_HOLDERS
#define MAY_ORDER true
#else
#define MAY_ORDER (CHECKS_FENCING || !formerMayAct)
#endif

#define HOLDERS 2
#define MAX_VERSION 6
#define NONE 255

/* The shard object. */
byte version = 0;
byte holder = NONE;
byte fencing = 0;
byte order = 0;        /* number of the recorded order; 0 if none */
byte desired = 0;      /* state that the recorded order asks for */
byte lastOrder = 0;
bool formerMayAct = false; /* a former holder has not yielded or ended */

/* The engine. */
byte engineFence = 0;
byte engineOrder = 0;  /* last order carried out */
bool changing = false;
byte changingOrder = 0;

/* Ground truth for the properties. */
bool violated = false; /* obeyed an order that is not the recorded one */
bool repeated = false; /* carried one order out twice */

/* Whether a holder has an order that left it and was not answered. */
bool unanswered[HOLDERS];

inline writeRecord(me, expected, result) {
  /* A conditional write whose answer may be lost. */
  result = 0;
  if
  :: expected == version && version < MAX_VERSION -> version++; result = 1
  :: else -> skip
  fi
}

inline engineObeys(me, myFence, myOrder) {
  /* The engine receives an order. */
  if
  :: CHECKS_FENCING && myFence < engineFence -> skip
  :: !(CHECKS_FENCING && myFence < engineFence) && IS_REPEATED(myOrder) -> skip
  :: !(CHECKS_FENCING && myFence < engineFence) && !IS_REPEATED(myOrder) ->
     if
     :: changing -> skip            /* refused: busy */
     :: else ->
        if
        :: CHECKS_FENCING -> engineFence = myFence
        :: else -> skip
        fi;
        /* The promise: only the order that the shard object holds now. */
        if
        :: myOrder != order -> violated = true
        :: else -> skip
        fi;
        changing = true;
        changingOrder = myOrder
     fi
  fi
}

active proctype Engine() {
end:
  do
  :: atomic {
       changing ->
       changing = false;
       repeated = repeated || engineOrder == changingOrder;
       engineOrder = changingOrder
     }
  od
}

proctype Holder(byte me) {
  byte seen = 0;         /* version that this holder read last */
  byte myFence = 0;
  byte myOrder = 0;
  bool ok = false;
  byte rounds = 0;
end:
  do
  :: rounds < 3 ->
    rounds++;
    /* Take the lease: the observer's expiry may come at any time. */
    atomic {
      seen = version;
      myFence = fencing + 1;
      writeRecord(me, seen, ok);
      if
      :: ok ->
         if
         :: holder != NONE && holder != me -> formerMayAct = true
         :: else -> skip
         fi;
         holder = me; fencing = myFence; seen = version
      :: else -> skip
      fi
    };
    if
    :: !ok -> goto end
    :: else -> skip
    fi;
    /* Raise the fence, where the engine checks it. */
#ifndef NO_FENCE
    atomic {
      if
      :: CHECKS_FENCING && myFence > engineFence -> engineFence = myFence
      :: else -> skip
      fi
    };
#endif
    /* A former holder yields when it knows of the loss and has nothing on its
     * way; see Yield below. Record an intent, or follow the recorded one. */
    atomic {
      myOrder = 0;
      if
      :: seen == version && HAS_INTENT -> myOrder = order
      :: seen == version && !HAS_INTENT ->
         writeRecord(me, seen, ok);
         if
         :: ok -> lastOrder++; order = lastOrder; myOrder = order;
                  seen = version
         :: else -> skip
         fi
      :: else -> skip
      fi
    };
    if
    :: myOrder == 0 -> goto end
    :: else -> skip
    fi;
    /* The last check before the first byte. The holder may be paused after
     * it, which the interleaving of this process models. */
    atomic {
      if
      :: holder == me && fencing == myFence && MAY_ORDER -> unanswered[me] = true
      :: else -> myOrder = 0
      fi
    };
    if
    :: myOrder == 0 -> goto end
    :: else -> skip
    fi;
    /* Paused here, then the bytes leave. */
    atomic {
      engineObeys(me, myFence, myOrder);
      unanswered[me] = false
    };
    /* Resolve the order once the engine reports it done. */
    atomic {
      if
      :: seen == version && holder == me && fencing == myFence &&
         engineOrder == myOrder && !changing ->
         writeRecord(me, seen, ok);
         if
         :: ok -> order = 0; seen = version
         :: else -> skip
         fi
      :: else -> skip
      fi
    }
  :: else -> break
  od
}

/* The current holder hears of the former one that it has yielded. */
active proctype Yield() {
end:
  do
  :: atomic {
       formerMayAct && holder != NONE &&
       !unanswered[1 - holder] -> formerMayAct = false
     }
  od
}

init {
  atomic {
    run Holder(0);
    run Holder(1)
  }
}

ltl obeysRecordedOrdersOnce { [] !(violated || repeated) }
