#include <string.h>

#include "load.h"

static const char *
get_text (json_t *o, const char *name)
{
  const char *text = json_string_value (json_object_get (o, name));

  return text ? text : "";
}

/* Returns whether ANSWER has the payload digest and account of R.  */
static int
matches_request (const struct ld_request *r, json_t *answer)
{
  const char *account = get_text (answer, "account");

  if (strcmp (get_text (answer, "digest"), r->digest) != 0)
    return 0;
  return !*account || !strcmp (account, r->ld->accounts[r->account].name);
}

static enum ld_digest
check_call (const struct ld_request *r, json_t *body)
{
  return matches_request (r, json_object_get (body, "answer")) ? LD_DIGEST_OK
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

    if (!matches_request (r, result ? result : o))
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
ld_apply_answer (struct ld_request *r, const struct hc_answer *answer)
{
  json_t *body = json_loads (answer->body, 0, NULL);
  const char *job = get_text (body, "job");

  r->status = answer->status;
  r->end = end_by_state (r, get_text (body, "state"), answer->status);
  if (r->is_job && *job)
    snprintf (r->job_id, sizeof r->job_id, "%s", job);
  if (r->end == LD_NOT_RUN)
    {
      r->refused_wall_ms = bs_wall_ms ();
      r->retry_at_ms = ld_now_ms () + answer->retry_after_s * 1000;
    }
  if (r->end == LD_DONE)
    r->digest_check = r->is_job ? check_job (r, body) : check_call (r, body);
  /* The answer to a job's submission may show its end without results.  */
  if (r->is_job && r->end == LD_DONE && !json_object_get (body, "results"))
    {
      r->end = LD_ACCEPTED;
      r->digest_check = LD_DIGEST_NONE;
    }
  json_decref (body);
}
