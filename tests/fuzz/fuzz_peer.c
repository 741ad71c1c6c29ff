/* Fuzzes pr_decode with arbitrary bytes and with well-formed messages that
   have been changed.  */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "skr/peer.h"

/* The name is defined by libFuzzer.  NOLINTBEGIN */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);
/* NOLINTEND */

enum
{
  MESSAGE_KINDS = PR_VMS,
  MAX_SIZE = 64 << 10 /* bytes */
};

/* Decodes DATA.  An accepted message must survive encoding and decoding.  */
static void
check_round_trip (const char *data, int size)
{
  struct pr_message *m = calloc (1, sizeof *m);
  char *out = NULL;

  if (m && pr_decode (m, data, size) == PR_OK)
    {
      int n = pr_encode (m, &out);

      if (n <= 0 || pr_decode (m, out, n) != PR_OK)
        abort ();
      free (out);
    }
  free (m);
}

static void
fill_name (char out[PR_ID_SIZE], uint8_t byte)
{
  memset (out, 'a' + byte % 26, byte % (PR_ID_SIZE - 1));
  out[byte % (PR_ID_SIZE - 1)] = '\0';
}

static void
fill_message (struct pr_message *m, uint8_t kind, uint8_t byte)
{
  m->kind = (enum pr_kind) (kind % MESSAGE_KINDS + 1);
  switch (m->kind)
    {
    case PR_HEARTBEAT:
      fill_name (m->u.heartbeat.vm, byte);
      m->u.heartbeat.cells = byte % (PR_MAX_CELLS + 1);
      break;
    case PR_JOB:
    case PR_JOB_ENDED:
      fill_name (m->u.job.cell, byte);
      break;
    case PR_CONFIG:
      fill_name (m->u.config.list, byte);
      break;
    case PR_CREDITS:
      fill_name (m->u.credits.cell, byte);
      m->u.credits.count = byte;
      break;
    case PR_USAGE:
      fill_name (m->u.usage.vm, byte);
      m->u.usage.count = byte;
      break;
    case PR_VMS:
      fill_name (m->u.vms.reader, byte);
      m->u.vms.count = byte % (PR_MAX_VMS + 1);
      break;
    }
}

/* Decodes a modified message.  The first two bytes of DATA choose a
   well-formed message; each further pair is an offset and a mask that changes
   one byte of it; a single last byte truncates it.  */
static void
decode_modified (const uint8_t *data, size_t size)
{
  struct pr_message *m = calloc (1, sizeof *m);
  char *out = NULL;
  int n;

  if (!m)
    return;
  fill_message (m, data[0], data[1]);
  n = pr_encode (m, &out);
  free (m);
  if (n <= 0)
    return;
  for (size_t i = 2; i + 1 < size; i += 2)
    out[data[i] % n] ^= (char)data[i + 1];
  if (size % 2)
    n -= data[size - 1] % n;
  check_round_trip (out, n);
  free (out);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size < 3 || size > MAX_SIZE)
    return 0;
  if (data[0] & 1)
    decode_modified (data + 1, size - 1);
  else
    check_round_trip ((const char *)data + 1, (int)size - 1);
  return 0;
}
