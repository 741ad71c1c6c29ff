#include <string.h>
#include <unistd.h>

#include "skr/base.h"
#include "worker.h"

int64_t
sw_now_ms (void)
{
  struct bs_clock clock = bs_clock_system ();

  return bs_now_ms (&clock);
}

/* Takes a new sample of the usage once the last one is usage_lag_ms old.  The
   reported usage is that of the last sample, so it lags.  */
static void
sample_usage (struct sw_worker *sw, int64_t now_ms)
{
  if (sw->usage && now_ms - sw->sampled_ms < sw->settings.usage_lag_ms)
    return;
  json_decref (sw->usage);
  sw->sampled_ms = now_ms;
  sw->usage
      = json_pack ("{s:s, s:b, s:i, s:i, s:I}", "id", sw->settings.id,
                   "leaving", sw->leaving, "slots_used",
                   sw_slots_used (&sw->gangs), "accelerators_used",
                   __builtin_popcountll (sw_accelerators_used (&sw->gangs)),
                   "lag_ms", (json_int_t)sw->settings.usage_lag_ms);
}

static int
hold_file_exists (const struct sw_worker *sw)
{
  const char *path = sw->settings.hold_file;

  return *path && !access (path, F_OK);
}

static void *
run_ticker (void *arg)
{
  struct sw_worker *sw = arg;
  int stopped;

  do
    {
      int64_t now_ms = sw_now_ms ();

      pthread_mutex_lock (&sw->lock);
      sw->gangs.fail_all = sw->mode == SW_MODE_FAIL_ALL;
      sw->gangs.hold = hold_file_exists (sw);
      sw_gangs_tick (&sw->gangs, now_ms, sw->mode == SW_MODE_FREEZE);
      sample_usage (sw, now_ms);
      stopped = sw->stopped;
      pthread_mutex_unlock (&sw->lock);
      usleep (SW_TICK_MS * 1000);
    }
  while (!stopped);
  return NULL;
}

int
sw_init (struct sw_worker *sw, const struct sw_settings *settings)
{
  memset (sw, 0, sizeof *sw);
  sw->settings = *settings;
  if (sw_journal_init (&sw->journal, settings->journal_file))
    return -1;
  pthread_mutex_init (&sw->lock, NULL);
  sw_gangs_init (&sw->gangs, &sw->journal);
  sw->gangs.accelerators = (int)settings->accelerators;
  sw->gangs.slots = (int)settings->slots;
  sw->gangs.checkpoint_ms = settings->checkpoint_ms;
  sw->gangs.ticked_ms = sw_now_ms ();
  return pthread_create (&sw->ticker, NULL, run_ticker, sw) ? -1 : 0;
}

void
sw_fini (struct sw_worker *sw)
{
  pthread_mutex_lock (&sw->lock);
  sw->stopped = 1;
  pthread_mutex_unlock (&sw->lock);
  pthread_join (sw->ticker, NULL);
  json_decref (sw->usage);
  sw_gangs_fini (&sw->gangs);
  sw_journal_fini (&sw->journal);
  pthread_mutex_destroy (&sw->lock);
}

void
sw_wait_unfrozen (struct sw_worker *sw)
{
  int frozen = 1;

  while (frozen)
    {
      pthread_mutex_lock (&sw->lock);
      frozen = sw->mode == SW_MODE_FREEZE && !sw->stopped;
      pthread_mutex_unlock (&sw->lock);
      if (frozen)
        usleep (SW_TICK_MS * 1000);
    }
}

void
sw_wait_released (struct sw_worker *sw)
{
  unsigned seen_releases;
  int held = 1;

  pthread_mutex_lock (&sw->lock);
  seen_releases = sw->releases;
  pthread_mutex_unlock (&sw->lock);
  while (held)
    {
      usleep (SW_TICK_MS * 1000);
      pthread_mutex_lock (&sw->lock);
      held = sw->releases == seen_releases && !sw->stopped;
      pthread_mutex_unlock (&sw->lock);
    }
}

void
sw_connection_closed (void *arg)
{
  struct sw_worker *sw = arg;

  pthread_mutex_lock (&sw->lock);
  sw->connections--;
  pthread_mutex_unlock (&sw->lock);
}

/* Counts the connection at its first request.  Returns 0 when too many are
   open.  Requests to /v1/admin/ do not count.  */
static int
admit_connection (struct sw_worker *sw, const struct sv_request *request)
{
  int admitted = 1;

  pthread_mutex_lock (&sw->lock);
  if (!*request->counted)
    {
      *request->counted = 1;
      sw->connections++;
      if (sw->connections > sw->connections_max)
        sw->connections_max = sw->connections;
    }
  admitted = sw->connections <= sw->settings.connections;
  pthread_mutex_unlock (&sw->lock);
  return admitted;
}

void
sw_handle (void *arg, const struct sv_request *request, struct sv_reply *reply)
{
  struct sw_worker *sw = arg;
  const char *admin = sv_strip_prefix (request->path, "/v1/admin/");

  if (!admin)
    {
      sw_wait_unfrozen (sw);
      if (!admit_connection (sw, request))
        {
          reply->close = 1;
          return;
        }
    }
  if (!strcmp (request->path, "/v1/calls")
      && !strcmp (request->method, "POST"))
    {
      sw_handle_call (sw, request, reply);
      return;
    }
  pthread_mutex_lock (&sw->lock);
  if (admin)
    sw_handle_admin (sw, admin, request, reply);
  else if (!strcmp (request->path, "/v1/usage"))
    reply->json = json_copy (sw->usage);
  else
    sw_handle_tasks (sw, request, reply);
  pthread_mutex_unlock (&sw->lock);
}
