#include <string.h>

#include "worker.h"

/* An order from the scheduler that holds a cell.  */
struct order
{
  json_t *body;
  const char *cell;
  json_int_t epoch;
};

static void
reply_error (struct sw_worker *sw, int error, const struct order *order,
             struct sv_reply *reply)
{
  switch ((enum sw_error)error)
    {
    case SW_EEPOCH:
      sv_set_error (reply, 409, "epoch");
      json_object_set_new (
          reply->json, "epoch",
          json_integer (sw_highest_epoch (&sw->gangs, order->cell)));
      break;
    case SW_EBUSY:
      sv_set_error (reply, 429, "busy");
      break;
    case SW_ENOENT:
      sv_set_error (reply, 404, "no such task");
      break;
    case SW_OK:
    case SW_EINVAL:
      sv_set_error (reply, 400, "malformed order");
      break;
    }
}

static void
reserve (struct sw_worker *sw, const struct order *order,
         struct sv_reply *reply)
{
  struct sw_gang *gang = NULL;
  const char *job = json_string_value (json_object_get (order->body, "job"));
  int64_t attempt
      = json_integer_value (json_object_get (order->body, "attempt"));
  int error;

  if (sw->leaving && !(job && sw_find_gang (&sw->gangs, job, attempt)))
    {
      sv_set_error (reply, 503, "leaving");
      return;
    }
  error = sw_reserve (&sw->gangs, order->body, sw_now_ms (), &gang);
  if (error != SW_OK)
    reply_error (sw, error, order, reply);
  else
    reply->json = json_pack ("{s:s}", "state", sw_state_name (gang));
}

/* Runs or, when ACK is set, acknowledges each of "jobs", and answers with
   their states.  */
static void
for_each_job (struct sw_worker *sw, const struct order *order, int ack,
              struct sv_reply *reply)
{
  json_t *jobs = json_object_get (order->body, "jobs"), *o;
  json_t *list = json_array ();
  size_t i;

  json_array_foreach (jobs, i, o)
  {
    const char *job = json_string_value (json_object_get (o, "job"));
    json_int_t attempt = json_integer_value (json_object_get (o, "attempt"));
    struct sw_gang *gang
        = job ? sw_find_gang (&sw->gangs, job, attempt) : NULL;

    if (gang && !ack)
      sw_start (&sw->gangs, gang);
    json_array_append_new (list,
                           json_pack ("{s:s, s:I, s:s}", "job", job ? job : "",
                                      "attempt", attempt, "state",
                                      gang ? sw_state_name (gang) : "absent"));
    if (gang && ack)
      sw_acknowledge (&sw->gangs, gang);
  }
  reply->json = json_pack ("{s:o}", "jobs", list);
}

/* Applies VERB ("checkpoint", "stop" or "throttle") to one job.  */
static void
apply_verb (struct sw_worker *sw, const struct order *order, const char *verb,
            struct sv_reply *reply)
{
  const char *job;
  json_int_t attempt, percent = 100;
  struct sw_gang *gang;

  if (json_unpack (order->body, "{s:s, s:I, s?I}", "job", &job, "attempt",
                   &attempt, "percent", &percent)
      || percent < 0 || percent > 100)
    {
      reply_error (sw, SW_EINVAL, order, reply);
      return;
    }
  gang = sw_find_gang (&sw->gangs, job, attempt);
  if (!gang)
    {
      reply_error (sw, SW_ENOENT, order, reply);
      return;
    }
  if (!strcmp (verb, "checkpoint"))
    sw_checkpoint (&sw->gangs, gang, sw_now_ms ());
  else if (!strcmp (verb, "stop"))
    sw_stop (&sw->gangs, gang);
  else
    gang->percent = percent;
  reply->json = json_pack ("{s:s}", "state", sw_state_name (gang));
}

static void
renew_leases (struct sw_worker *sw, const struct order *order,
              struct sv_reply *reply)
{
  json_int_t lease_ms;

  if (json_unpack (order->body, "{s:I}", "lease_ms", &lease_ms))
    reply_error (sw, SW_EINVAL, order, reply);
  else
    reply->json = json_pack (
        "{s:i}", "renewed",
        sw_renew (&sw->gangs, order->cell, sw_now_ms () + lease_ms));
}

static void
route_order (struct sw_worker *sw, const char *path, const struct order *order,
             struct sv_reply *reply)
{
  if (!strcmp (path, "/v1/tasks"))
    reserve (sw, order, reply);
  else if (!strcmp (path, "/v1/tasks/run"))
    for_each_job (sw, order, 0, reply);
  else if (!strcmp (path, "/v1/tasks/ack"))
    for_each_job (sw, order, 1, reply);
  else if (!strcmp (path, "/v1/tasks/checkpoint")
           || !strcmp (path, "/v1/tasks/stop")
           || !strcmp (path, "/v1/tasks/throttle"))
    apply_verb (sw, order, sv_strip_prefix (path, "/v1/tasks/"), reply);
  else if (!strcmp (path, "/v1/leases"))
    renew_leases (sw, order, reply);
  else
    sv_set_error (reply, 404, "no such call");
}

static void
list_tasks (struct sw_worker *sw, const char *cell, struct sv_reply *reply)
{
  json_t *list = json_array ();

  for (guint i = 0; i < sw->gangs.list->len; i++)
    {
      const struct sw_gang *gang = g_ptr_array_index (sw->gangs.list, i);

      if (!cell || !strcmp (cell, gang->cell))
        sw_describe_tasks (gang, list);
    }
  reply->json = json_pack (
      "{s:s, s:I, s:b, s:o, s:i}", "id", sw->settings.id, "epoch",
      (json_int_t)(cell ? sw_highest_epoch (&sw->gangs, cell) : 0), "leaving",
      sw->leaving, "tasks", list, "calls", sw->gangs.calls);
}

void
sw_handle_tasks (struct sw_worker *sw, const struct sv_request *request,
                 struct sv_reply *reply)
{
  struct order order = { json_loads (request->body, 0, NULL), NULL, 0 };

  if (!strcmp (request->method, "GET") && !strcmp (request->path, "/v1/tasks"))
    list_tasks (sw, sv_query (request, "cell"), reply);
  else if (strcmp (request->method, "POST") != 0)
    sv_set_error (reply, 404, "no such call");
  else if (json_unpack (order.body, "{s:s, s:I}", "cell", &order.cell, "epoch",
                        &order.epoch))
    reply_error (sw, SW_EINVAL, &order, reply);
  else if (sw_observe_epoch (&sw->gangs, order.cell, order.epoch) != SW_OK)
    reply_error (sw, SW_EEPOCH, &order, reply);
  else
    route_order (sw, request->path, &order, reply);
  json_decref (order.body);
}
