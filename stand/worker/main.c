#include <stdio.h>
#include <unistd.h>

#include "skr/base.h"
#include "skr/opt.h"
#include "worker.h"

enum
{
  REGISTER_TRIES = 50,
  REGISTER_PAUSE_MS = 100,
  POLL_MS = 20,
  ACK_WAIT_MS = 2000, /* for ended tasks that nobody has asked about */
  DRAIN_MS = 1000     /* for answers on their way */
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
    "also write the journal there; empty: no file", FIELD (journal_file) },
  { "hold-file", OPT_STRING, "path", 0, 400, "",
    "while it exists no task ends by itself; empty: none", FIELD (hold_file) },
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

/* Work that a stop still has to wait for; *ENDED counts tasks that ended and
   are not acknowledged.  */
static int
work_left (struct sw_worker *sw, int *ended)
{
  int left;

  pthread_mutex_lock (&sw->lock);
  left = sw_active (&sw->gangs, ended) + sw->gangs.calls;
  pthread_mutex_unlock (&sw->lock);
  return left;
}

static void
leave (struct sw_worker *sw)
{
  int64_t until = sw_now_ms () + sw->settings.drain_ms, ack_until;
  int ended = 0;

  pthread_mutex_lock (&sw->lock);
  sw->leaving = 1;
  pthread_mutex_unlock (&sw->lock);
  sw_register (sw, 0);
  while (work_left (sw, &ended) && sw_now_ms () < until)
    usleep (POLL_MS * 1000);
  ack_until = sw_now_ms () + ACK_WAIT_MS;
  while ((work_left (sw, &ended) || ended)
         && sw_now_ms () < (ack_until < until ? ack_until : until))
    usleep (POLL_MS * 1000);
  sw_register (sw, 1);
  sv_drain (&sw->server, DRAIN_MS);
}

static int
join (struct sw_worker *sw)
{
  for (int i = 0; i < REGISTER_TRIES; i++)
    {
      if (!sw_register (sw, 0))
        return 0;
      usleep (REGISTER_PAUSE_MS * 1000);
    }
  fprintf (stderr, "skr-worker: the platform does not answer\n");
  return -1;
}

/* Serves until a stop signal, or until told to leave and told to stop.  */
static void
serve (struct sw_worker *sw)
{
  int known_leaving = 0, leaving;

  while (!bs_stop_wait (POLL_MS))
    {
      pthread_mutex_lock (&sw->lock);
      leaving = sw->leaving;
      pthread_mutex_unlock (&sw->lock);
      if (leaving && !known_leaving)
        sw_register (sw, 0);
      known_leaving = leaving;
    }
  leave (sw);
}

int
main (int argc, char **argv)
{
  struct sw_settings settings;
  struct sw_worker sw;
  int status = 1;

  opt_parse (defs, &settings, argc, argv, "[OPTION...]",
             "Stand-in for an upstream: calls, tasks under leases.", NULL);
  if (bs_init () != BS_OK)
    return 1;
  bs_stop_on_signals ();
  if (sw_init (&sw, &settings))
    return 1;
  if (sv_init (&sw.server, settings.listen, sw_handle, sw_closed, &sw)
      != SV_OK)
    fprintf (stderr, "skr-worker: cannot listen on %s\n", settings.listen);
  else
    {
      sv_announce (&sw.server);
      if (!join (&sw))
        {
          serve (&sw);
          status = 0;
        }
      sv_fini (&sw.server);
    }
  sw_fini (&sw);
  return status;
}
