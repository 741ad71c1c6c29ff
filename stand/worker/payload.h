/* What a payload tells the stand-in by its "fake" member, and the answer that
   lets a caller see whose request it belongs to.  */
#ifndef WORKER_PAYLOAD_H
#define WORKER_PAYLOAD_H

#include <jansson.h>
#include <stdint.h>

enum
{
  SW_DEFAULT_RUN_MS = 5,
  SW_MAX_ANSWER = 1 << 20 /* bytes of padding */
};

struct sw_fake
{
  int64_t run_ms;
  int fails;
  int hold; /* a call runs until the worker is told to release it */
  int64_t answer_bytes;
};

/* RUN_MS, when above 0, is the run time of a payload that states none.  */
void sw_fake_parse (struct sw_fake *fake, json_t *payload, int64_t run_ms);
/* Copies the caller's "account" and "tag" of "fake" to a journal entry.  */
void sw_fake_label (json_t *entry, json_t *payload);
/* {NAME: ID, "account", "digest", "pad"?}; the digest is that of the payload
   as compact JSON with sorted keys.  ACCOUNT may be NULL.  */
json_t *sw_fake_answer (json_t *payload, const char *name, const char *id,
                        const char *account);

#endif
