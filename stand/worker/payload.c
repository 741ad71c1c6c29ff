#include <stdlib.h>
#include <string.h>

#include "payload.h"
#include "skr/base.h"

void
sw_fake_parse (struct sw_fake *fake, json_t *payload, int64_t run_ms)
{
  json_t *o = json_object_get (payload, "fake");
  json_t *own_ms = json_object_get (o, "run_ms");
  json_t *fails = json_object_get (o, "fails");

  fake->run_ms = run_ms > 0 ? run_ms : SW_DEFAULT_RUN_MS;
  if (json_is_integer (own_ms))
    fake->run_ms = json_integer_value (own_ms);
  fake->fails = json_is_true (fails) || json_integer_value (fails) > 0;
  fake->crashes = json_is_true (json_object_get (o, "crashes"));
  fake->hold = json_is_true (json_object_get (o, "hold"));
  fake->answer_bytes
      = json_integer_value (json_object_get (o, "answer_bytes"));
}

void
sw_fake_label (json_t *entry, json_t *payload)
{
  json_t *o = json_object_get (payload, "fake");
  json_t *tag = json_object_get (o, "tag");
  json_t *account = json_object_get (o, "account");

  if (tag)
    json_object_set (entry, "tag", tag);
  if (account)
    json_object_set (entry, "account", account);
}

json_t *
sw_fake_answer (json_t *payload, const char *name, const char *id,
                const char *account)
{
  char digest[BS_DIGEST_SIZE];
  char *text = json_dumps (payload, JSON_COMPACT | JSON_SORT_KEYS);
  json_t *o;
  struct sw_fake fake;

  sw_fake_parse (&fake, payload, 0);
  bs_digest (digest, text ? text : "");
  free (text);
  o = json_pack ("{s:s, s:s}", name, id, "digest", digest);
  if (account)
    json_object_set_new (o, "account", json_string (account));
  if (fake.answer_bytes > 0 && fake.answer_bytes <= SW_MAX_PAD_BYTES)
    {
      char *pad = malloc ((size_t)fake.answer_bytes + 1);

      memset (pad, 'x', (size_t)fake.answer_bytes);
      pad[fake.answer_bytes] = '\0';
      json_object_set_new (o, "pad", json_string (pad));
      free (pad);
    }
  return o;
}
