#include <stdio.h>
#include <unistd.h>

#include "skr/base.h"
#include "skr/opt.h"
#include "worker.h"

enum
{
  MAX_REGISTER_ATTEMPTS = 50,
  REGISTER_RETRY_MS = 100,
  POLL_MS = 20,
  ACKNOWLEDGE_WAIT_MS = 2000, /* for the acknowledgement of ended tasks */
  DRAIN_MS = 1000             /* for answers that are being sent */
};

#define FIELD(name) offsetof (struct sw_settings, name)

static const struct opt_def defs[] = {
  { "id", OPT_STRING, "", 1, 60, "worker", "name of this VM", FIELD (id) },
  { "listen", OPT_STRING, "IP:PORT", 9, 60, "127.0.0.1:0",
    "address to serve; port 0 picks a free one", FIELD (listen) },
  { "platform", OPT_STRING, "url", 0, 200, "",
    "platform to register with; empty: none", FIELD (platform) },
  { "rack", OPT_STRING, "", 1, 60, "r1", "rack", FIELD (rack) },
  { "domain", OPT_STRING, "", 1, 60, "d1", "failure domain", FIELD (domain) },
  { "journal-file", OPT_STRING, "path", 0, 400, "",
    "file to append the journal to; empty: none", FIELD (journal_file) },
  { "hold-file", OPT_STRING, "path", 0, 400, "",
    "while this file exists, no task finishes by itself; empty: none",
    FIELD (hold_file) },
  { "accelerators", OPT_INT, "accelerators", 0, 64, "8",
    "accelerators of the worker", FIELD (accelerators) },
  { "slots", OPT_INT, "slots", 1, 1024, "8", "slots of the worker",
    FIELD (slots) },
  { "connections", OPT_INT, "connections", 1, 1024, "60",
    "connections served at once", FIELD (connections) },
  { "checkpoint-ms", OPT_INT, "ms", 0, 2000, "200",
    "time that a checkpoint takes", FIELD (checkpoint_ms) },
  { "usage-lag-ms", OPT_INT, "ms", 0, 60000, "1000", "age of reported usage",
    FIELD (usage_lag_ms) },
  { "drain-ms", OPT_INT, "ms", 0, 600000, "10000",
    "longest wait for work in progress at a stop", FIELD (drain_ms) },
  { NULL }
};

/* Returns the number of active gangs and calls, and in *ENDED that of gangs
   that ended and are not acknowledged.  */
static int
work_in_progress (struct sw_worker *sw, int *ended)
{
  int in_progress;

  pthread_mutex_lock (&sw->lock);
  in_progress = sw_count_active (&sw->gangs, ended) + sw->gangs.calls;
  pthread_mutex_unlock (&sw->lock);
  return in_progress;
}

/* Refuses new work, waits for the work in progress and for acknowledgements,
   and removes the worker from the platform's list.  */
static void
drain_and_leave (struct sw_worker *sw)
{
  int64_t drain_until = sw_now_ms () + sw->settings.drain_ms, ack_until;
  int ended = 0;

  pthread_mutex_lock (&sw->lock);
  sw->leaving = 1;
  pthread_mutex_unlock (&sw->lock);
  sw_register (sw, 0);
  while (work_in_progress (sw, &ended) && sw_now_ms () < drain_until)
    usleep (POLL_MS * 1000);
  ack_until = sw_now_ms () + ACKNOWLEDGE_WAIT_MS;
  while ((work_in_progress (sw, &ended) || ended)
         && sw_now_ms () < (ack_until < drain_until ? ack_until : drain_until))
    usleep (POLL_MS * 1000);
  sw_register (sw, 1);
  sv_drain (&sw->server, DRAIN_MS);
}

/* Registers with the platform, retrying until it answers.  */
static int
register_until_answered (struct sw_worker *sw)
{
  for (int i = 0; i < MAX_REGISTER_ATTEMPTS; i++)
    {
      if (!sw_register (sw, 0))
        return 0;
      usleep (REGISTER_RETRY_MS * 1000);
    }
  fprintf (stderr, "skr-worker: the platform does not answer\n");
  return -1;
}

/* Serves until a stop signal.  When told to leave, reports the
   new state to the platform.  */
static void
serve (struct sw_worker *sw)
{
  int reported_leaving = 0, leaving;

  while (!bs_stop_wait (POLL_MS))
    {
      pthread_mutex_lock (&sw->lock);
      leaving = sw->leaving;
      pthread_mutex_unlock (&sw->lock);
      if (leaving && !reported_leaving)
        sw_register (sw, 0);
      reported_leaving = leaving;
    }
  drain_and_leave (sw);
}

int
main (int argc, char **argv)
{
  struct sw_settings settings;
  struct sw_worker sw;
  int status = 1;

  opt_parse (defs, &settings, argc, argv, "[OPTION...]",
             "Stand-in for an upstream: runs calls, and tasks under leases.",
             NULL);
  if (bs_init () != BS_OK)
    return 1;
  bs_stop_on_signals ();
  if (sw_init (&sw, &settings))
    return 1;
  if (sv_init (&sw.server, settings.listen, sw_handle, sw_connection_closed,
               &sw)
      != SV_OK)
    fprintf (stderr, "skr-worker: cannot listen on %s\n", settings.listen);
  else
    {
      sv_announce (&sw.server);
      if (!register_until_answered (&sw))
        {
          serve (&sw);
          status = 0;
        }
      sv_fini (&sw.server);
    }
  sw_fini (&sw);
  return status;
}
