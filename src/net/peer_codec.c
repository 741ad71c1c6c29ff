#include <limits.h>
#include <msgpack.h>
#include <stddef.h>
#include <string.h>

#include "net/peer_validate.h"
#include "skr/peer.h"

/* A message is encoded as [version, kind, body], a structure as the array of
   its fields in the order of the tables below, and a list as an array of
   structures.  New fields may only be appended; a decoder ignores trailing
   fields that it does not know.  */
enum field_type
{
  FIELD_TEXT,
  FIELD_INT32,
  FIELD_INT64,
  FIELD_LIST /* OFFSET is that of the int32_t count */
};

struct field
{
  size_t offset, element_offset, stride;
  const struct field *element;
  enum field_type type;
  int max;            /* bytes of a text with its NUL, or elements of a list */
  int element_fields; /* number of fields of an element */
};

#define TEXT(s, f, size)                                                      \
  {                                                                           \
    .type = FIELD_TEXT, .offset = offsetof (s, f), .max = (size)              \
  }
#define INT32(s, f)                                                           \
  {                                                                           \
    .type = FIELD_INT32, .offset = offsetof (s, f)                            \
  }
#define INT64(s, f)                                                           \
  {                                                                           \
    .type = FIELD_INT64, .offset = offsetof (s, f)                            \
  }
#define COUNT(a) ((int)(sizeof (a) / sizeof *(a)))
#define LIST(s, n, f, limit, table)                                           \
  {                                                                           \
    .type = FIELD_LIST, .offset = offsetof (s, n), .max = (limit),            \
    .element_offset = offsetof (s, f), .stride = sizeof (((s *)0)->f[0]),     \
    .element = (table), .element_fields = COUNT (table)                       \
  }

static const struct field cell_fields[]
    = { TEXT (struct pr_cell, cell, PR_ID_SIZE),
        INT64 (struct pr_cell, epoch) };

static const struct field heartbeat_fields[]
    = { TEXT (struct pr_heartbeat, vm, PR_ID_SIZE),
        INT32 (struct pr_heartbeat, role),
        INT32 (struct pr_heartbeat, leaving),
        TEXT (struct pr_heartbeat, address, PR_ADDRESS_SIZE),
        TEXT (struct pr_heartbeat, domain, PR_ID_SIZE),
        INT64 (struct pr_heartbeat, plans_version),
        INT64 (struct pr_heartbeat, allowances_version),
        LIST (struct pr_heartbeat, cells, cell, PR_MAX_CELLS, cell_fields),
        INT64 (struct pr_heartbeat, stamp_ms) };

static const struct field job_fields[]
    = { TEXT (struct pr_job, cell, PR_ID_SIZE),
        TEXT (struct pr_job, job, PR_ID_SIZE) };

static const struct field config_fields[]
    = { TEXT (struct pr_config, list, PR_ID_SIZE),
        INT64 (struct pr_config, version) };

static const struct field credit_fields[]
    = { TEXT (struct pr_credit, worker, PR_ID_SIZE),
        TEXT (struct pr_credit, address, PR_ADDRESS_SIZE),
        INT32 (struct pr_credit, slots),
        INT32 (struct pr_credit, connections) };

static const struct field credits_fields[] = {
  TEXT (struct pr_credits, cell, PR_ID_SIZE), INT64 (struct pr_credits, epoch),
  INT64 (struct pr_credits, stamp_ms), INT64 (struct pr_credits, valid_ms),
  LIST (struct pr_credits, count, credit, PR_MAX_CREDITS, credit_fields)
};

static const struct field use_fields[]
    = { TEXT (struct pr_use, account, PR_ID_SIZE),
        INT32 (struct pr_use, calls_in_progress),
        INT32 (struct pr_use, calls_last_second) };

static const struct field usage_fields[]
    = { TEXT (struct pr_usage, vm, PR_ID_SIZE),
        LIST (struct pr_usage, count, use, PR_MAX_USAGE, use_fields) };

static const struct field vm_fields[]
    = { TEXT (struct pr_vm, id, PR_ID_SIZE),
        TEXT (struct pr_vm, address, PR_ADDRESS_SIZE),
        TEXT (struct pr_vm, peer, PR_ADDRESS_SIZE),
        TEXT (struct pr_vm, rack, PR_ID_SIZE),
        TEXT (struct pr_vm, domain, PR_ID_SIZE),
        INT32 (struct pr_vm, is_entry),
        INT32 (struct pr_vm, state),
        INT32 (struct pr_vm, accelerators),
        INT32 (struct pr_vm, slots),
        INT32 (struct pr_vm, connections) };

static const struct field vms_fields[]
    = { TEXT (struct pr_vms, reader, PR_ID_SIZE),
        TEXT (struct pr_vms, domain, PR_ID_SIZE),
        INT64 (struct pr_vms, incarnation),
        INT64 (struct pr_vms, serial),
        INT64 (struct pr_vms, digest),
        INT32 (struct pr_vms, more),
        LIST (struct pr_vms, count, vm, PR_MAX_VMS, vm_fields) };

static const struct field *
find_fields (int kind, int *count)
{
  switch (kind)
    {
    case PR_HEARTBEAT:
      *count = COUNT (heartbeat_fields);
      return heartbeat_fields;
    case PR_JOB:
    case PR_JOB_ENDED:
      *count = COUNT (job_fields);
      return job_fields;
    case PR_CONFIG:
      *count = COUNT (config_fields);
      return config_fields;
    case PR_CREDITS:
      *count = COUNT (credits_fields);
      return credits_fields;
    case PR_USAGE:
      *count = COUNT (usage_fields);
      return usage_fields;
    case PR_VMS:
      *count = COUNT (vms_fields);
      return vms_fields;
    default:
      return NULL;
    }
}

static int
pack_text (msgpack_packer *pk, const char *text, int max)
{
  size_t size = strnlen (text, (size_t)max);

  if (size == (size_t)max)
    return PR_EINVAL;
  msgpack_pack_str (pk, size);
  msgpack_pack_str_body (pk, text, size);
  return PR_OK;
}

static int pack_fields (msgpack_packer *pk, const char *base,
                        const struct field *field, int count);

static int
pack_list (msgpack_packer *pk, const char *base, const struct field *f)
{
  int32_t n;

  memcpy (&n, base + f->offset, sizeof n);
  if (n < 0 || n > f->max)
    return PR_EINVAL;
  msgpack_pack_array (pk, (size_t)n);
  for (int32_t i = 0; i < n; i++)
    {
      int e
          = pack_fields (pk, base + f->element_offset + (size_t)i * f->stride,
                         f->element, f->element_fields);

      if (e)
        return e;
    }
  return PR_OK;
}

static int
pack_field (msgpack_packer *pk, const char *base, const struct field *f)
{
  int32_t n32;
  int64_t n64;

  switch (f->type)
    {
    case FIELD_TEXT:
      return pack_text (pk, base + f->offset, f->max);
    case FIELD_INT32:
      memcpy (&n32, base + f->offset, sizeof n32);
      msgpack_pack_int32 (pk, n32);
      return PR_OK;
    case FIELD_INT64:
      memcpy (&n64, base + f->offset, sizeof n64);
      msgpack_pack_int64 (pk, n64);
      return PR_OK;
    case FIELD_LIST:
      return pack_list (pk, base, f);
    }
  return PR_EINVAL;
}

static int
pack_fields (msgpack_packer *pk, const char *base, const struct field *field,
             int count)
{
  msgpack_pack_array (pk, (size_t)count);
  for (int i = 0; i < count; i++)
    {
      int e = pack_field (pk, base, &field[i]);

      if (e)
        return e;
    }
  return PR_OK;
}

int
pr_encode (const struct pr_message *message, char **out)
{
  int count, error, size;
  const struct field *field = find_fields (message->kind, &count);
  msgpack_sbuffer buf;
  msgpack_packer pk;

  if (!field)
    return PR_EINVAL;
  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 3);
  msgpack_pack_int (&pk, PR_VERSION);
  msgpack_pack_int (&pk, message->kind);
  error = pack_fields (&pk, (const char *)&message->u, field, count);
  if (!error && buf.size > PR_MAX_SIZE)
    error = PR_EINVAL;
  if (error)
    {
      msgpack_sbuffer_destroy (&buf);
      return error;
    }
  size = (int)buf.size;
  *out = msgpack_sbuffer_release (&buf);
  return *out ? size : PR_ENOMEM;
}

static int
unpack_int (const msgpack_object *o, int64_t min, int64_t max, int64_t *out)
{
  if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    {
      if (o->via.u64 > (uint64_t)max)
        return PR_EINVAL;
      *out = (int64_t)o->via.u64;
      return *out < min ? PR_EINVAL : PR_OK;
    }
  if (o->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return PR_EINVAL;
  *out = o->via.i64;
  return *out < min ? PR_EINVAL : PR_OK;
}

static int
unpack_text (const msgpack_object *o, char *to, int max)
{
  if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= (uint32_t)max)
    return PR_EINVAL;
  /* The pointer of an empty text may be NULL.  */
  if (o->via.str.size)
    {
      if (memchr (o->via.str.ptr, '\0', o->via.str.size))
        return PR_EINVAL;
      memcpy (to, o->via.str.ptr, o->via.str.size);
    }
  to[o->via.str.size] = '\0';
  return PR_OK;
}

static int unpack_fields (const msgpack_object *o, char *base,
                          const struct field *field, int count);

static int
unpack_list (const msgpack_object *o, char *base, const struct field *f)
{
  int32_t n;

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > (uint32_t)f->max)
    return PR_EINVAL;
  n = (int32_t)o->via.array.size;
  memcpy (base + f->offset, &n, sizeof n);
  for (int32_t i = 0; i < n; i++)
    {
      int e = unpack_fields (&o->via.array.ptr[i],
                             base + f->element_offset + (size_t)i * f->stride,
                             f->element, f->element_fields);

      if (e)
        return e;
    }
  return PR_OK;
}

static int
unpack_field (const msgpack_object *o, char *base, const struct field *f)
{
  int64_t n;
  int32_t n32;
  int error;

  switch (f->type)
    {
    case FIELD_TEXT:
      return unpack_text (o, base + f->offset, f->max);
    case FIELD_INT32:
      error = unpack_int (o, INT32_MIN, INT32_MAX, &n);
      if (error)
        return error;
      n32 = (int32_t)n;
      memcpy (base + f->offset, &n32, sizeof n32);
      return PR_OK;
    case FIELD_INT64:
      error = unpack_int (o, INT64_MIN, INT64_MAX, &n);
      if (error)
        return error;
      memcpy (base + f->offset, &n, sizeof n);
      return PR_OK;
    case FIELD_LIST:
      return unpack_list (o, base, f);
    }
  return PR_EINVAL;
}

static int
unpack_fields (const msgpack_object *o, char *base, const struct field *field,
               int count)
{
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < (uint32_t)count)
    return PR_EINVAL;
  for (int i = 0; i < count; i++)
    {
      int e = unpack_field (&o->via.array.ptr[i], base, &field[i]);

      if (e)
        return e;
    }
  return PR_OK;
}

static int
unpack_message (const msgpack_object *o, struct pr_message *message)
{
  const struct field *field;
  int64_t version, kind;
  int count;

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 3)
    return PR_EINVAL;
  if (unpack_int (&o->via.array.ptr[0], PR_VERSION, PR_VERSION, &version)
      || unpack_int (&o->via.array.ptr[1], 0, INT_MAX, &kind))
    return PR_EINVAL;
  field = find_fields ((int)kind, &count);
  if (!field)
    return PR_EINVAL;
  memset (message, 0, sizeof *message);
  message->kind = (enum pr_kind)kind;
  return unpack_fields (&o->via.array.ptr[2], (char *)&message->u, field,
                        count);
}

int
pr_decode (struct pr_message *message, const char *data, int size)
{
  msgpack_unpacked un;
  size_t used = 0;
  int error = PR_EINVAL;

  if (size <= 0 || size > PR_MAX_SIZE
      || pr_check_element_counts (data, size) != PR_OK)
    return PR_EINVAL;
  msgpack_unpacked_init (&un);
  if (msgpack_unpack_next (&un, data, (size_t)size, &used)
          == MSGPACK_UNPACK_SUCCESS
      && used == (size_t)size)
    error = unpack_message (&un.data, message);
  msgpack_unpacked_destroy (&un);
  return error;
}

const char *
pr_strerror (int error)
{
  switch ((enum pr_error)error)
    {
    case PR_OK:
      return "success";
    case PR_EINVAL:
      return "malformed message or argument";
    case PR_ENOMEM:
      return "out of memory";
    case PR_ENET:
      return "ZeroMQ refused";
    case PR_EFULL:
      return "the peer's queue is full";
    case PR_ENOPEER:
      return "no such peer";
    }
  return "unknown error";
}
