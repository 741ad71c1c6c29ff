#include <string.h>

#include "worker.h"

static const char *const mode_names[]
    = { "ok", "freeze", "fail_all", "late", "silent" };

static int
parse_mode (const char *name)
{
  for (int i = 0; i < (int)G_N_ELEMENTS (mode_names); i++)
    if (!strcmp (name, mode_names[i]))
      return i;
  return -1;
}

static void
set_fault (struct sw_worker *sw, const struct sv_request *request,
           struct sv_reply *reply)
{
  json_t *o = json_loads (request->body, 0, NULL);
  const char *name = "ok";
  json_int_t late_ms = 1000;
  int mode = -1;

  if (!json_unpack (o, "{s?s, s?I !}", "mode", &name, "late_ms", &late_ms))
    mode = parse_mode (name);
  if (mode < 0)
    sv_set_error (reply, 400, "bad fault");
  else
    {
      sw->mode = (enum sw_mode)mode;
      sw->late_ms = late_ms;
      if (sw->mode == SW_MODE_SILENT)
        sv_silence (&sw->server);
      reply->json = json_pack ("{s:s}", "mode", name);
    }
  json_decref (o);
}

void
sw_handle_admin (struct sw_worker *sw, const char *path,
                 const struct sv_request *request, struct sv_reply *reply)
{
  int post = !strcmp (request->method, "POST");

  if (post && !strcmp (path, "faults"))
    set_fault (sw, request, reply);
  else if (post && !strcmp (path, "leave"))
    {
      sw->leaving = 1;
      reply->json = json_pack ("{s:b}", "leaving", 1);
    }
  else if (post && !strcmp (path, "release"))
    reply->json = json_pack ("{s:i}", "releases", (int)++sw->releases);
  else if (!strcmp (request->method, "GET") && !strcmp (path, "journal"))
    reply->json
        = json_pack ("{s:s, s:o, s:i, s:i}", "id", sw->settings.id, "entries",
                     sw_journal_list (&sw->journal), "connections_max",
                     sw->connections_max, "slots_max", sw->slots_max);
  else
    sv_set_error (reply, 404, "no such call");
}
