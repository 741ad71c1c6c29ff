#include <string.h>

#include "load.h"

static const char *
text_of (json_t *o, const char *name)
{
  const char *text = json_string_value (json_object_get (o, name));

  return text ? text : "";
}

/* 1 when ANSWER belongs to this very request.  */
static int
is_own (const struct ld_request *r, json_t *answer)
{
  const char *account = text_of (answer, "account");

  if (strcmp (text_of (answer, "digest"), r->digest) != 0)
    return 0;
  return !*account || !strcmp (account, r->ld->account[r->account].name);
}

static enum ld_digest
check_call (const struct ld_request *r, json_t *body)
{
  return is_own (r, json_object_get (body, "answer")) ? LD_DIGEST_OK
                                                      : LD_DIGEST_BAD;
}

static enum ld_digest
check_job (const struct ld_request *r, json_t *body)
{
  json_t *results = json_object_get (body, "results"), *o;
  size_t i;

  json_array_foreach (results, i, o)
  {
    json_t *result = json_object_get (o, "result");

    if (!is_own (r, result ? result : o))
      return LD_DIGEST_BAD;
  }
  return json_array_size (results) == (size_t)r->ld->settings.job_tasks
             ? LD_DIGEST_OK
             : LD_DIGEST_BAD;
}

static enum ld_end
end_by_status (const struct ld_request *r, long status)
{
  if (status == 202 && r->is_job)
    return LD_ACCEPTED;
  if (status == 429 || status == 503 || (status >= 400 && status < 500))
    return LD_NOT_RUN;
  return LD_UNKNOWN;
}

static enum ld_end
end_by_state (const struct ld_request *r, const char *state, long status)
{
  static const struct
  {
    const char *name;
    enum ld_end end;
  } ends[] = {
    { "done", LD_DONE },         { "failed", LD_FAILED },
    { "cancelled", LD_NOT_RUN }, { "refused", LD_NOT_RUN },
    { "not_run", LD_NOT_RUN },   { "unknown", LD_UNKNOWN },
    { "claimed", LD_UNKNOWN },   { "queued", LD_ACCEPTED },
    { "running", LD_ACCEPTED },
  };

  for (unsigned i = 0; i < sizeof ends / sizeof *ends; i++)
    if (!strcmp (state, ends[i].name))
      return ends[i].end;
  return end_by_status (r, status);
}

void
ld_take (struct ld_request *r, const struct hc_answer *answer)
{
  json_t *body = json_loads (answer->body, 0, NULL);
  const char *job = text_of (body, "job");

  r->status = answer->status;
  r->end = end_by_state (r, text_of (body, "state"), answer->status);
  if (r->is_job && *job)
    snprintf (r->job, sizeof r->job, "%s", job);
  if (r->end == LD_NOT_RUN)
    {
      r->refused_wall_ms = bs_wall_ms ();
      r->retry_ms = ld_now_ms () + answer->retry_after_s * 1000;
    }
  if (r->end == LD_DONE)
    r->check = r->is_job ? check_job (r, body) : check_call (r, body);
  /* An accepted job's first answer may show its end without results.  */
  if (r->is_job && r->end == LD_DONE && !json_object_get (body, "results"))
    {
      r->end = LD_ACCEPTED;
      r->check = LD_DIGEST_NONE;
    }
  json_decref (body);
}
