/* The confirmation of customers' keys (KeyConfirmation): a store, an instance
 * that watches it, and an instance that asks the watcher. The operator removes a
 * key at any moment.
 *
 * Any message may be delayed, and the clock may advance at any point, so every
 * process may be frozen anywhere. While the machine of the instance is
 * suspended, its steady clock stands still and its boot clock does not.
 *
 * Property: no request is served that was sent later than BOUND after the store
 * had acknowledged the removal.
 *
 * Defining NO_... removes a guard; Meta/model-mutations.sh checks that the
 * property depends on each of them.
 */

#define BOUND 1
#define MAX_TIME 4

#ifdef NO_BOOT_CLOCK
#define NOW steady
#else
#define NOW clock
#endif

#ifdef NO_QUESTION_TIME
#define CONFIRMED_FROM NOW
#else
#define CONFIRMED_FROM askedAt
#endif

#ifdef NO_WATCHER_AGE
#define AGE 0
#else
#define AGE (clock - watcherConfirmedAt)
#endif

#ifdef NO_VERSION_CHECK
#define IS_SAME_VERSION true
#else
#define IS_SAME_VERSION (answeredVersion == version)
#endif

#ifdef NO_AGE_CHECK
#define IS_RECENT true
#else
#define IS_RECENT (NOW - confirmedAt < BOUND)
#endif

byte clock = 0;
byte steady = 0;

/* The key exists in version 1 only. */
byte stored = 1;
byte removedAt = 0;

byte watcherVersion = 1;
short watcherConfirmedAt = 0;

/* What the instance knows. */
byte version = 1;
short confirmedAt = 0;

/* Question to the watcher and its answer, in flight one at a time. */
bool isAsked = false;
bool isAnswered = false;
short askedAt = 0;
short answeredAge = 0;
byte answeredVersion = 1;

active proctype Clock() {
  do
  :: clock < MAX_TIME -> atomic { clock++; steady++ }
  :: clock < MAX_TIME -> clock++ /* suspended */
  :: else -> break
  od
}

active proctype Operator() {
  atomic { stored = 2; removedAt = clock }
}

active proctype Watcher() {
  short question;
  byte read;
end:
  do
  :: clock < MAX_TIME ->
     question = clock;
     read = stored;
     atomic { watcherVersion = read; watcherConfirmedAt = question }
  :: isAsked && !isAnswered ->
     atomic { answeredAge = AGE; answeredVersion = watcherVersion }
     isAnswered = true
  :: clock >= MAX_TIME -> break
  od
}

active proctype Instance() {
  short question;
  byte read;
end:
  do
  :: !isAsked && clock < MAX_TIME ->
     askedAt = NOW;
     isAsked = true
  :: isAnswered ->
     if
     :: IS_SAME_VERSION -> confirmedAt = CONFIRMED_FROM - answeredAge
     :: else ->
        /* The newer version is read from the store. */
        question = NOW;
        read = stored;
        atomic { version = read; confirmedAt = question }
     fi;
     /* An answer names its question, so it is not taken for another one's. */
     atomic { isAnswered = false; isAsked = false }
  :: clock >= MAX_TIME -> break
  od
}

/* A caller whose request is received and served at any time after it was sent. */
active proctype Caller() {
  byte sentAt;
end:
  do
  :: clock < MAX_TIME ->
     sentAt = clock;
     atomic {
       if
       :: version == 1 && IS_RECENT ->
          assert(stored == 1 || sentAt <= removedAt + BOUND)
       :: else
       fi
     }
  :: clock >= MAX_TIME -> break
  od
}
