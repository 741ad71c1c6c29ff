#include "skr/trace.h"

static void
put (json_t *object, const char *field, json_t *value)
{
  json_object_set_new_nocheck (object, field, value);
}

static void
put_int (json_t *object, const char *field, int64_t value)
{
  put (object, field, json_integer (value));
}

static void
put_text (json_t *object, const char *field, const char *value)
{
  put (object, field, json_string (value));
}

static void
put_name (json_t *object, const char *field, const struct tr_names *names,
          uint32_t handle)
{
  json_object_set_nocheck (object, field, tr_name_value (names, handle));
}

static void
write_line (FILE *out, json_t *object)
{
  json_dumpf (object, out, JSON_COMPACT);
  putc ('\n', out);
  json_decref (object);
}

static void
put_worker (json_t *o, const struct tr_tables *t, const struct tr_worker *w)
{
  put_name (o, "id", &t->worker, w->id);
  put_name (o, "rack", &t->rack, w->rack);
  put_name (o, "domain", &t->domain, w->domain);
  put_int (o, "accelerators", w->accelerators);
  put_int (o, "slots", w->slots);
}

static void
put_plan (json_t *o, const struct tr_tables *t, const struct tr_plan *p)
{
  json_t *list = json_array ();

  put_name (o, "account", &t->account, p->account);
  put_int (o, "version", p->version);
  for (int i = 0; i < p->shapes; i++)
    json_array_append_new (list, json_pack ("{s:i,s:i}", "size",
                                            (int)p->shape[i].size, "count",
                                            (int)p->shape[i].count));
  put (o, "guarantee", list);
}

static void
put_submit (json_t *o, const struct tr_tables *t, const struct tr_submit *s)
{
  put_name (o, "job", &t->job, s->job);
  put_name (o, "account", &t->account, s->spec.account);
  put_text (o, "class", s->spec.class == DC_URGENT ? "urgent" : "bulk");
  put_int (o, "tasks", s->spec.tasks);
  put_int (o, "per_task", s->spec.per_task);
  put_int (o, "declared_ms", s->spec.declared_ms);
  put_int (o, "actual_ms", s->actual_ms);
  put (o, "repeatable", json_boolean (s->spec.repeatable));
  put (o, "preemptible", json_boolean (s->spec.preemptible));
  put (o, "fails", json_boolean (s->fails));
}

void
tr_write_event (FILE *out, const struct tr_tables *tables,
                const struct tr_event *event)
{
  static const char *const name[] = { [TR_WORKER] = "worker",
                                      [TR_LEAVING] = "worker_leaving",
                                      [TR_DOWN] = "worker_down",
                                      [TR_FAILS_ALL] = "worker_fails_all",
                                      [TR_HEALS] = "worker_heals",
                                      [TR_PLAN] = "plan",
                                      [TR_SUBMIT] = "submit",
                                      [TR_CANCEL] = "cancel",
                                      [TR_END] = "end" };
  json_t *o = json_object ();

  put_int (o, "at", event->at_ms);
  put_text (o, "ev", name[event->kind]);
  switch (event->kind)
    {
    case TR_WORKER:
      put_worker (o, tables, &event->u.worker);
      break;
    case TR_LEAVING:
    case TR_DOWN:
    case TR_FAILS_ALL:
    case TR_HEALS:
      put_name (o, "id", &tables->worker, event->u.worker_id);
      break;
    case TR_PLAN:
      put_plan (o, tables, &event->u.plan);
      break;
    case TR_SUBMIT:
      put_submit (o, tables, &event->u.submit);
      break;
    case TR_CANCEL:
      put_name (o, "job", &tables->job, event->u.job);
      break;
    case TR_END:
      break;
    }
  write_line (out, o);
}

static json_t *
placement (const struct tr_tables *tables, const struct dc_action *action)
{
  json_t *list = json_array ();

  for (int i = 0; i < action->place_count; i++)
    {
      json_t *entry = json_object ();
      json_t *bits = json_array ();

      for (int b = 0; b < DC_MAX_ACCELERATORS; b++)
        if (action->place[i].accelerators >> b & 1)
          json_array_append_new (bits, json_integer (b));
      put_int (entry, "task", i);
      put_name (entry, "worker", &tables->worker, action->place[i].worker);
      put (entry, "accelerators", bits);
      json_array_append_new (list, entry);
    }
  return list;
}

static const char *
action_name (enum dc_action_kind kind)
{
  switch (kind)
    {
    case DC_ACT_PLAN_ACCEPTED:
      return "plan_accepted";
    case DC_ACT_PLAN_REFUSED:
      return "plan_refused";
    case DC_ACT_START:
      return "start";
    case DC_ACT_PREEMPT:
      return "preempt";
    case DC_ACT_REQUEUE:
      return "requeue";
    case DC_ACT_DONE:
      return "done";
    case DC_ACT_FAILED:
      return "failed";
    case DC_ACT_CANCELLED:
      return "cancelled";
    case DC_ACT_UNKNOWN:
      return "unknown";
    case DC_ACT_REFUSED:
      return "refused";
    case DC_ACT_QUARANTINE:
      return "quarantine";
    case DC_ACT_READMIT:
      return "readmit";
    case DC_ACT_STOP:
      break;
    }
  return NULL;
}

static void
put_details (json_t *o, const struct tr_tables *tables,
             const struct dc_action *action)
{
  switch (action->kind)
    {
    case DC_ACT_PLAN_ACCEPTED:
    case DC_ACT_PLAN_REFUSED:
      put_name (o, "account", &tables->account, action->id);
      put_int (o, "version", action->version);
      break;
    case DC_ACT_QUARANTINE:
    case DC_ACT_READMIT:
      put_name (o, "worker", &tables->worker, action->id);
      return;
    case DC_ACT_START:
      put_name (o, "job", &tables->job, action->id);
      put_int (o, "attempt", action->attempt);
      put (o, "placement", placement (tables, action));
      return;
    case DC_ACT_REQUEUE:
      put_name (o, "job", &tables->job, action->id);
      put_int (o, "attempt", action->attempt);
      break;
    default:
      put_name (o, "job", &tables->job, action->id);
    }
  if (action->kind != DC_ACT_PLAN_ACCEPTED && action->kind != DC_ACT_DONE
      && action->kind != DC_ACT_PREEMPT)
    put_text (o, "reason", action->reason ? action->reason : "unspecified");
}

void
tr_write_action (FILE *out, const struct tr_tables *tables,
                 const struct dc_action *action)
{
  const char *name = action_name (action->kind);
  json_t *o;

  if (!name)
    return;
  o = json_object ();
  put_int (o, "at", action->at_ms);
  put_text (o, "act", name);
  put_details (o, tables, action);
  write_line (out, o);
}
