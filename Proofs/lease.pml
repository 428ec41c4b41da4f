/* The lease that permits orders to one engine: a shard object with the lease, a
 * fencing number and one recorded order; two holders that may pause at any
 * point; an engine that checks the fencing number (CHECKS_FENCING 1) or ignores
 * it (CHECKS_FENCING 0).
 *
 * Time is abstract: a lease may expire for an observer at any moment, whatever
 * the holder does. The product guarantees more: there the holder stops before
 * the observer may act. A property that holds in the model therefore holds in
 * the product.
 *
 * Defining NO_... removes a guard; Meta/model-mutations.sh checks which guards
 * the property depends on.
 */

#ifndef CHECKS_FENCING
#define CHECKS_FENCING 1
#endif

#ifdef NO_ORDER_NUMBERS
#define IS_REPEATED(number) false
#else
#define IS_REPEATED(number) (number == engineOrder || (changing && changingOrder == number))
#endif

#ifdef NO_INTENT_ADOPTION
#define HAS_INTENT false
#else
#define HAS_INTENT (order != 0)
#endif

#ifdef NO_FORMER_HOLDER_WAIT
#define MAY_ORDER true
#else
#define MAY_ORDER (CHECKS_FENCING || !formerHolderMayOrder)
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
/* Whether a former holder may still send an order: it has neither released the
 * lease nor ended. */
bool formerHolderMayOrder = false;

/* The engine. */
byte engineFence = 0;
byte engineOrder = 0;  /* last order carried out */
bool changing = false;
byte changingOrder = 0;

/* Violations; the property requires that neither occurs. */
bool executedStaleOrder = false; /* accepted an order that is not the recorded one */
bool executedTwice = false;      /* carried out one order twice */

/* Whether a holder has sent an order and has no response to it. */
bool orderInFlight[HOLDERS];

inline writeRecord(me, expected, written) {
  /* A conditional write. A lost response is not modelled. */
  written = 0;
  if
  :: expected == version && version < MAX_VERSION -> version++; written = 1
  :: else -> skip
  fi
}

inline receiveOrder(me, myFence, myOrder) {
  /* The engine receives an order. */
  if
  :: CHECKS_FENCING && myFence < engineFence -> skip
  :: !(CHECKS_FENCING && myFence < engineFence) && IS_REPEATED(myOrder) -> skip
  :: !(CHECKS_FENCING && myFence < engineFence) && !IS_REPEATED(myOrder) ->
     if
     :: changing -> skip            /* refused as busy */
     :: else ->
        if
        :: CHECKS_FENCING -> engineFence = myFence
        :: else -> skip
        fi;
        /* Property: only the order that is recorded now is accepted. */
        if
        :: myOrder != order -> executedStaleOrder = true
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
       executedTwice = executedTwice || engineOrder == changingOrder;
       engineOrder = changingOrder
     }
  od
}

proctype Holder(byte me) {
  byte readVersion = 0;         /* version that this holder read last */
  byte myFence = 0;
  byte myOrder = 0;
  bool written = false;
  byte rounds = 0;
end:
  do
  :: rounds < 3 ->
    rounds++;
    /* Take the lease, which may expire for the observer at any time. */
    atomic {
      readVersion = version;
      myFence = fencing + 1;
      writeRecord(me, readVersion, written);
      if
      :: written ->
         if
         :: holder != NONE && holder != me -> formerHolderMayOrder = true
         :: else -> skip
         fi;
         holder = me; fencing = myFence; readVersion = version
      :: else -> skip
      fi
    };
    if
    :: !written -> goto end
    :: else -> skip
    fi;
    /* Raise the fence if the engine checks it. */
#ifndef NO_FENCE
    atomic {
      if
      :: CHECKS_FENCING && myFence > engineFence -> engineFence = myFence
      :: else -> skip
      fi
    };
#endif
    /* Record an intent, or adopt the recorded one. A former holder releases the
     * lease once it has noticed the loss and has no order in flight; see
     * Release. */
    atomic {
      myOrder = 0;
      if
      :: readVersion == version && HAS_INTENT -> myOrder = order
      :: readVersion == version && !HAS_INTENT ->
         writeRecord(me, readVersion, written);
         if
         :: written -> lastOrder++; order = lastOrder; myOrder = order;
                  readVersion = version
         :: else -> skip
         fi
      :: else -> skip
      fi
    };
    if
    :: myOrder == 0 -> goto end
    :: else -> skip
    fi;
    /* The last check before the order is sent. The holder may pause after it,
     * which the interleaving of the processes models. */
    atomic {
      if
      :: holder == me && fencing == myFence && MAY_ORDER -> orderInFlight[me] = true
      :: else -> myOrder = 0
      fi
    };
    if
    :: myOrder == 0 -> goto end
    :: else -> skip
    fi;
    /* The holder may have paused; now the order reaches the engine. */
    atomic {
      receiveOrder(me, myFence, myOrder);
      orderInFlight[me] = false
    };
    /* Resolve the order once the engine reports it done. */
    atomic {
      if
      :: readVersion == version && holder == me && fencing == myFence &&
         engineOrder == myOrder && !changing ->
         writeRecord(me, readVersion, written);
         if
         :: written -> order = 0; readVersion = version
         :: else -> skip
         fi
      :: else -> skip
      fi
    }
  :: else -> break
  od
}

/* The current holder learns that the former one has released the lease. */
active proctype Release() {
end:
  do
  :: atomic {
       formerHolderMayOrder && holder != NONE &&
       !orderInFlight[1 - holder] -> formerHolderMayOrder = false
     }
  od
}

init {
  atomic {
    run Holder(0);
    run Holder(1)
  }
}

ltl executesRecordedOrdersOnce { [] !(executedStaleOrder || executedTwice) }
