/* Draining: a holder, two instances that route on their own, one engine. An
 * order may cut no request. Messages and reports are delayed: the report that
 * the holder acts on shows the engine as it was at an earlier moment.
 *
 * Guards are removed by defining NO_...; see Meta/model-mutations.sh.
 */

#define INSTANCES 2
#define MAX_REQUESTS 2

bool announced = false;         /* the holder has announced the drain */
bool honours[INSTANCES];        /* the instance routes nothing new there */
bool acknowledged[INSTANCES];   /* the holder has heard so */

byte onTheWay = 0;              /* requests sent and not arrived */
byte running = 0;               /* requests at the engine */
bool changing = false;

bool cut = false;

/* An idle report: taken at some moment, delivered at a later one. */
bool idleReport = false;
bool idleReportIsNew = false;   /* taken after the last acknowledgement */

proctype Instance(byte me) {
  byte sent = 0;
end:
  do
  :: atomic { !honours[me] && sent < MAX_REQUESTS -> sent++; onTheWay++ }
  :: atomic { announced && !honours[me] -> honours[me] = true }
  :: atomic { honours[me] && !acknowledged[me] -> acknowledged[me] = true }
  od
}

active proctype Engine() {
end:
  do
  :: atomic {
       onTheWay > 0 ->
       onTheWay--;
       if
       :: changing -> skip   /* refused before its first token, placed again */
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
  /* The order travels; the engine checks that it is idle. */
  atomic {
#ifndef NO_IDLE_CONDITION
    (running == 0);
#endif
    if
    :: running > 0 -> cut = true
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

ltl cutsNothing { [] !cut }
