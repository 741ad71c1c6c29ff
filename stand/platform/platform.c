#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform.h"
#include "skr/base.h"

void
sp_init (struct sp_platform *sp, const struct sp_settings *settings)
{
  memset (sp, 0, sizeof *sp);
  sp->settings = *settings;
  sp->list_lag_ms = settings->list_lag_ms;
  sp->tokens = (double)settings->writes_per_second;
  pthread_mutex_init (&sp->lock, NULL);
  sp_store_init (&sp->store);
  sp->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_bytes_unref);
  sp->vms = json_object ();
  sp->vm_lists = g_queue_new ();
  sp->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (sp->rng, (unsigned long)settings->seed);
}

void
sp_fini (struct sp_platform *sp)
{
  gsl_rng_free (sp->rng);
  sp_vm_lists_fini (sp);
  json_decref (sp->vms);
  g_hash_table_destroy (sp->objects);
  if (sp->has_snapshot)
    sp_store_fini (&sp->snapshot);
  sp_store_fini (&sp->store);
  pthread_mutex_destroy (&sp->lock);
}

/* Counts one write.  Returns 0 when it is over the rate limit.  */
static int
admit_write (struct sp_platform *sp)
{
  struct bs_clock clock = bs_clock_system ();
  int64_t now = bs_now_ms (&clock);
  double rate = (double)sp->settings.writes_per_second;
  struct sp_counters *c = &sp->counters;

  if (rate > 0)
    {
      sp->tokens += rate * (double)(now - sp->refilled_ms) / 1000;
      sp->refilled_ms = now;
      sp->tokens = MIN (sp->tokens, rate);
      if (sp->tokens < 1)
        {
          c->refused++;
          return 0;
        }
      sp->tokens -= 1;
    }
  if (now / 1000 != c->second)
    c->writes_now = 0;
  c->second = now / 1000;
  c->writes_now++;
  c->writes_max_1s = MAX (c->writes_max_1s, c->writes_now);
  c->writes++;
  return 1;
}

static void
commit (struct sp_platform *sp, const struct sv_request *request,
        struct sv_reply *reply)
{
  json_t *txn = json_loads (request->body, 0, NULL);

  switch (sp_store_commit (&sp->store, txn, &reply->json))
    {
    case SP_OK:
      sp->counters.rows
          += (int64_t)json_array_size (json_object_get (txn, "ops"));
      break;
    case SP_ECONFLICT:
      reply->status = 409;
      break;
    default:
      reply->status = 400;
    }
  json_decref (txn);
}

static void
read_rows (struct sp_platform *sp, const char *path,
           const struct sv_request *request, struct sv_reply *reply)
{
  const char *slash = strchr (path, '/');
  struct sp_scan scan;

  sp->counters.reads++;
  if (slash)
    {
      char *table = g_strndup (path, (gsize)(slash - path));

      reply->json = sp_store_get (&sp->store, table, slash + 1);
      g_free (table);
      if (!reply->json)
        sv_set_error (reply, 404, "no such row");
      return;
    }
  scan.prefix = sv_query (request, "prefix");
  scan.after_key = sv_query (request, "after");
  scan.since = sv_query_int (request, "since", 0);
  scan.limit = sv_query_int (request, "limit", SP_DEFAULT_SCAN_ROWS);
  scan.limit = CLAMP (scan.limit, 1, SP_MAX_SCAN_ROWS);
  reply->json = sp_store_scan (&sp->store, path, &scan);
}

static void
read_object (struct sp_platform *sp, const char *name, struct sv_reply *reply)
{
  GBytes *bytes = g_hash_table_lookup (sp->objects, name);
  const void *data;

  sp->counters.reads++;
  if (!bytes)
    {
      sv_set_error (reply, 404, "no such object");
      return;
    }
  data = g_bytes_get_data (bytes, &reply->raw_size);
  reply->raw = malloc (reply->raw_size + 1);
  if (reply->raw && data)
    memcpy (reply->raw, data, reply->raw_size);
}

static void
write_object (struct sp_platform *sp, const char *name,
              const struct sv_request *request, struct sv_reply *reply)
{
  if (!strcmp (request->method, "DELETE"))
    g_hash_table_remove (sp->objects, name);
  else if (request->size > SP_MAX_OBJECT_BYTES)
    {
      sv_set_error (reply, 413, "object is too large");
      return;
    }
  else
    g_hash_table_insert (sp->objects, g_strdup (name),
                         g_bytes_new (request->body, request->size));
  reply->json = json_object ();
}

static void
route_write (struct sp_platform *sp, const struct sv_request *request,
             struct sv_reply *reply)
{
  const char *name = sv_strip_prefix (request->path, "/v1/objects/");

  if (!admit_write (sp))
    {
      sv_set_error (reply, 429, "too many writes");
      reply->retry_after_s = 1;
      return;
    }
  if (!strcmp (request->path, "/v1/txn")
      && !strcmp (request->method, "POST") != 0)
    commit (sp, request, reply);
  else if (name && *name && strcmp (request->method, "POST") != 0)
    write_object (sp, name, request, reply);
  else
    sv_set_error (reply, 404, "no such call");
  if (sp->mode == SP_MODE_LOST
      && gsl_rng_uniform (sp->rng) * 100 < (double)sp->lost_percent)
    reply->close = 1;
}

static void
route_read (struct sp_platform *sp, const struct sv_request *request,
            struct sv_reply *reply)
{
  const char *rest;

  if (!strcmp (request->path, "/v1/vms"))
    reply->json = sp_lagging_vms (sp);
  else if ((rest = sv_strip_prefix (request->path, "/v1/rows/")) && *rest)
    read_rows (sp, rest, request, reply);
  else if ((rest = sv_strip_prefix (request->path, "/v1/objects/")) && *rest)
    read_object (sp, rest, reply);
  else
    sv_set_error (reply, 404, "no such call");
}

/* In the mode "hold", waits until the mode changes.  When the next mode is
   "down", the answer is dropped.  Call with the lock held; it is released
   while waiting.  */
static void
hold_answer (struct sp_platform *sp, struct sv_reply *reply)
{
  if (sp->mode != SP_MODE_HOLD)
    return;
  sp->counters.held++;
  while (sp->mode == SP_MODE_HOLD && !atomic_load (&sp->server.stopping))
    {
      pthread_mutex_unlock (&sp->lock);
      usleep (SP_HOLD_POLL_MS * 1000);
      pthread_mutex_lock (&sp->lock);
    }
  sp->counters.held--;
  if (sp->mode == SP_MODE_DOWN)
    reply->close = 1;
}

void
sp_handle (void *arg, const struct sv_request *request, struct sv_reply *reply)
{
  struct sp_platform *sp = arg;
  const char *admin = sv_strip_prefix (request->path, "/v1/admin/");
  int64_t wait_ms = 0;

  if (admin)
    {
      sp_admin (sp, admin, request, reply);
      return;
    }
  pthread_mutex_lock (&sp->lock);
  if (sp->mode == SP_MODE_SLOW)
    wait_ms = sp->slow_ms;
  pthread_mutex_unlock (&sp->lock);
  if (wait_ms)
    usleep ((useconds_t)wait_ms * 1000);
  pthread_mutex_lock (&sp->lock);
  if (sp->mode == SP_MODE_DOWN)
    {
      sv_set_error (reply, 503, "down");
      reply->retry_after_s = 1;
    }
  else if (!strcmp (request->method, "GET"))
    route_read (sp, request, reply);
  else
    {
      route_write (sp, request, reply);
      hold_answer (sp, reply);
    }
  pthread_mutex_unlock (&sp->lock);
}
