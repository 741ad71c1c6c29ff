#include <string.h>

#include "platform.h"

static const char *const mode_names[]
    = { "ok", "down", "silent", "slow", "lost", "hold", "mute" };

static int
parse_mode (const char *name)
{
  for (int i = 0; i < (int)G_N_ELEMENTS (mode_names); i++)
    if (!strcmp (name, mode_names[i]))
      return i;
  return -1;
}

static void
set_fault (struct sp_platform *sp, const struct sv_request *request,
           struct sv_reply *reply)
{
  json_t *o = json_loads (request->body, 0, NULL);
  const char *name = "ok";
  json_int_t slow_ms = 1000, lost_percent = 100, lag_ms = sp->list_lag_ms;
  int mode = -1;

  if (!json_unpack (o, "{s?s, s?I, s?I, s?I !}", "mode", &name, "slow_ms",
                    &slow_ms, "lost_percent", &lost_percent, "list_lag_ms",
                    &lag_ms))
    mode = parse_mode (name);
  if (mode < 0)
    sv_set_error (reply, 400, "bad fault");
  else
    {
      sp->mode = (enum sp_mode)mode;
      sp->slow_ms = slow_ms;
      sp->lost_percent = lost_percent;
      sp->list_lag_ms = lag_ms;
      sv_set_muted (&sp->server, sp->mode == SP_MODE_MUTE);
      if (sp->mode == SP_MODE_SILENT)
        sv_silence (&sp->server);
      reply->json = json_pack ("{s:s}", "mode", name);
    }
  json_decref (o);
}

static void
set_vm (struct sp_platform *sp, const char *id,
        const struct sv_request *request, struct sv_reply *reply)
{
  json_t *vm = json_loads (request->body, 0, NULL);

  if (!json_is_object (vm))
    {
      json_decref (vm);
      sv_set_error (reply, 400, "not a VM");
      return;
    }
  json_object_set_new (vm, "id", json_string (id));
  json_object_set_new (sp->vms, id, vm);
  sp_record_vms (sp);
  reply->json = json_incref (vm);
}

static void
delete_vm (struct sp_platform *sp, const char *id, struct sv_reply *reply)
{
  if (json_object_del (sp->vms, id))
    {
      sv_set_error (reply, 404, "no such VM");
      return;
    }
  sp_record_vms (sp);
  reply->json = json_object ();
}

static void
take_snapshot (struct sp_platform *sp, struct sv_reply *reply)
{
  if (sp->has_snapshot)
    sp_store_fini (&sp->snapshot);
  sp_store_copy (&sp->snapshot, &sp->store);
  sp->has_snapshot = 1;
  reply->json = json_pack ("{s:I}", "rev", (json_int_t)sp->store.rev);
}

static void
restore_snapshot (struct sp_platform *sp, struct sv_reply *reply)
{
  if (!sp->has_snapshot)
    {
      sv_set_error (reply, 404, "no snapshot");
      return;
    }
  sp_store_fini (&sp->store);
  sp_store_copy (&sp->store, &sp->snapshot);
  reply->json = json_pack ("{s:I}", "rev", (json_int_t)sp->store.rev);
}

static void
show_counters (struct sp_platform *sp, struct sv_reply *reply)
{
  const struct sp_counters *c = &sp->counters;

  reply->json = json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:i, s:I, s:I, s:I}", "reads",
      (json_int_t)c->reads, "writes", (json_int_t)c->writes, "ops",
      (json_int_t)c->rows, "refused", (json_int_t)c->refused, "held",
      (json_int_t)c->held, "silenced", atomic_load (&sp->server.silenced),
      "writes_max_1s", (json_int_t)c->writes_max_1s, "bytes_in",
      (json_int_t)atomic_load (&sp->server.bytes_in), "bytes_out",
      (json_int_t)atomic_load (&sp->server.bytes_out));
}

void
sp_admin (struct sp_platform *sp, const char *path,
          const struct sv_request *request, struct sv_reply *reply)
{
  const char *id = sv_strip_prefix (path, "vms/");
  int post = !strcmp (request->method, "POST");

  pthread_mutex_lock (&sp->lock);
  if (id && *id && !strcmp (request->method, "PUT"))
    set_vm (sp, id, request, reply);
  else if (id && *id && !strcmp (request->method, "DELETE"))
    delete_vm (sp, id, reply);
  else if (post && !strcmp (path, "faults"))
    set_fault (sp, request, reply);
  else if (post && !strcmp (path, "snapshot"))
    take_snapshot (sp, reply);
  else if (post && !strcmp (path, "restore"))
    restore_snapshot (sp, reply);
  else if (!strcmp (request->method, "GET") && !strcmp (path, "counters"))
    show_counters (sp, reply);
  else
    sv_set_error (reply, 404, "no such call");
  pthread_mutex_unlock (&sp->lock);
}
