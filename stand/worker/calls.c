#include <string.h>
#include <unistd.h>

#include "payload.h"
#include "worker.h"

/* Takes a slot and records the start in the journal.  Returns 0, with REPLY
   filled, when the call is refused.  */
static int
start_call (struct sw_worker *sw, const char *id, const char *account,
            json_t *payload, unsigned *entry, struct sv_reply *reply)
{
  struct sw_gangs *gangs = &sw->gangs;
  json_t *o;
  int used;

  if (sw->leaving)
    {
      sv_set_error (reply, 503, "leaving");
      return 0;
    }
  if (sw_slots_used (gangs) >= gangs->slots)
    {
      sv_set_error (reply, 429, "busy");
      return 0;
    }
  gangs->calls++;
  used = sw_slots_used (gangs);
  if (used > sw->slots_max)
    sw->slots_max = used;
  o = json_pack ("{s:s, s:s}", "kind", "call", "id", id);
  sw_fake_label (o, payload);
  json_object_set_new (o, "account", json_string (account));
  *entry = sw_journal_start (&sw->journal, o);
  return 1;
}

static void
end_call (struct sw_worker *sw, unsigned entry, int failed)
{
  sw->gangs.calls--;
  sw_journal_end (&sw->journal, entry, failed ? "failed" : "done");
}

static void
run_call (struct sw_worker *sw, const char *id, const char *account,
          json_t *payload, int64_t run_ms, struct sv_reply *reply)
{
  struct sw_fake fake;
  unsigned entry;
  int failed, started;
  int64_t late_ms;

  sw_fake_parse (&fake, payload, run_ms);
  pthread_mutex_lock (&sw->lock);
  started = start_call (sw, id, account, payload, &entry, reply);
  failed = fake.fails || sw->mode == SW_MODE_FAIL_ALL;
  pthread_mutex_unlock (&sw->lock);
  if (!started)
    return;
  if (fake.hold)
    sw_wait_released (sw);
  usleep (failed ? 0 : (useconds_t)fake.run_ms * 1000);
  sw_wait_unfrozen (sw);
  pthread_mutex_lock (&sw->lock);
  end_call (sw, entry, failed);
  late_ms = sw->mode == SW_MODE_LATE ? sw->late_ms : 0;
  pthread_mutex_unlock (&sw->lock);
  usleep ((useconds_t)late_ms * 1000);
  if (failed)
    sv_set_error (reply, 500, "failed");
  else
    reply->json = json_pack ("{s:s, s:o}", "request", id, "answer",
                             sw_fake_answer (payload, "request", id, account));
}

void
sw_handle_call (struct sw_worker *sw, const struct sv_request *request,
                struct sv_reply *reply)
{
  json_t *body = json_loads (request->body, 0, NULL), *payload = NULL;
  const char *id = sv_header (request, "X-Request-Id");
  const char *account, *kind;
  json_int_t run_ms = 0;

  if (!id
      || json_unpack (body, "{s:s, s:s, s?o, s?I}", "account", &account,
                      "kind", &kind, "payload", &payload, "run_ms", &run_ms))
    sv_set_error (reply, 400, "malformed call");
  else
    run_call (sw, id, account, payload, run_ms, reply);
  json_decref (body);
}
