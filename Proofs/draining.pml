/* Draining of an engine before its role changes: a lease holder, two instances
 * that route independently, one engine. An order must not abort a request.
 * Messages and reports are delayed: the report that the holder acts on shows an
 * earlier state of the engine.
 *
 * Defining NO_... removes a guard; see Meta/model-mutations.sh.
 */

#define INSTANCES 2
#define MAX_REQUESTS 2

bool announced = false;         /* the holder has announced the drain */
bool stoppedRouting[INSTANCES]; /* the instance routes no new request there */
bool acknowledged[INSTANCES];   /* the holder has the acknowledgement */

byte inTransit = 0;             /* requests sent and not arrived */
byte running = 0;               /* requests at the engine */
bool changing = false;

bool requestAborted = false;

/* An idle report: taken at some moment, delivered at a later one. */
bool idleReport = false;
bool idleReportIsNew = false;   /* taken after the last acknowledgement */

proctype Instance(byte me) {
  byte sentCount = 0;
end:
  do
  :: atomic { !stoppedRouting[me] && sentCount < MAX_REQUESTS -> sentCount++; inTransit++ }
  :: atomic { announced && !stoppedRouting[me] -> stoppedRouting[me] = true }
  :: atomic { stoppedRouting[me] && !acknowledged[me] -> acknowledged[me] = true }
  od
}

active proctype Engine() {
end:
  do
  :: atomic {
       inTransit > 0 ->
       inTransit--;
       if
       :: changing -> skip   /* refused before its first token, then retried */
       :: else -> running++
       fi
     }
  :: atomic { running > 0 -> running-- }
  od
}

active proctype Reports() {
end:
  do
  :: atomic {
       running == 0 && !changing && !idleReport ->
       idleReport = true;
       idleReportIsNew = acknowledged[0] && acknowledged[1]
     }
  :: atomic { idleReport -> idleReport = false; idleReportIsNew = false }
  od
}

active proctype Holder() {
  announced = true;
#ifndef NO_ACKNOWLEDGEMENT
  (acknowledged[0] && acknowledged[1]);
#endif
#ifndef NO_IDLE_REPORT
  (idleReport && idleReportIsNew);
#endif
  /* The order arrives; the engine checks that it is idle. */
  atomic {
#ifndef NO_IDLE_CONDITION
    (running == 0);
#endif
    if
    :: running > 0 -> requestAborted = true
    :: else -> skip
    fi;
    changing = true
  }
}

init {
  atomic {
    run Instance(0);
    run Instance(1)
  }
}

ltl abortsNoRequest { [] !requestAborted }
