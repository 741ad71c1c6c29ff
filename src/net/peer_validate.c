#include <stdint.h>

#include "net/peer_validate.h"
#include "skr/peer.h"

/* Instantiates the msgpack library's parser template with callbacks that count
   elements and build no objects.  Each element takes at least one byte.  */
struct bound
{
  uint64_t remaining; /* elements that headers may still announce */
};

typedef int no_value;

static int
reserve_elements (struct bound *b, uint64_t elements)
{
  if (elements > b->remaining)
    return -1;
  b->remaining -= elements;
  return 0;
}

#define SCALAR(name, type)                                                    \
  static inline int bound##name (const struct bound *b, type value,           \
                                 no_value *o)                                 \
  {                                                                           \
    (void)b;                                                                  \
    (void)value;                                                              \
    *o = 0;                                                                   \
    return 0;                                                                 \
  }
SCALAR (_uint8, uint8_t)
SCALAR (_uint16, uint16_t)
SCALAR (_uint32, uint32_t)
SCALAR (_uint64, uint64_t)
SCALAR (_int8, int8_t)
SCALAR (_int16, int16_t)
SCALAR (_int32, int32_t)
SCALAR (_int64, int64_t)
SCALAR (_float, float)
SCALAR (_double, double)

#define CONSTANT(name)                                                        \
  static inline int bound##name (const struct bound *b, no_value *o)          \
  {                                                                           \
    (void)b;                                                                  \
    *o = 0;                                                                   \
    return 0;                                                                 \
  }
CONSTANT (_nil)
CONSTANT (_true)
CONSTANT (_false)

#define BYTES(name)                                                           \
  static inline int bound##name (const struct bound *b, const char *base,     \
                                 const char *at, unsigned size, no_value *o)  \
  {                                                                           \
    (void)b;                                                                  \
    (void)base;                                                               \
    (void)at;                                                                 \
    (void)size;                                                               \
    *o = 0;                                                                   \
    return 0;                                                                 \
  }
BYTES (_str)
BYTES (_bin)
BYTES (_ext)

static inline no_value
bound_root (const struct bound *b)
{
  (void)b;
  return 0;
}

static inline int
bound_array (struct bound *b, unsigned count, no_value *o)
{
  *o = 0;
  return reserve_elements (b, count);
}

static inline int
bound_array_item (const struct bound *b, const no_value *list, no_value item)
{
  (void)b;
  (void)list;
  (void)item;
  return 0;
}

static inline int
bound_map (struct bound *b, unsigned count, no_value *o)
{
  *o = 0;
  return reserve_elements (b, (uint64_t)count * 2);
}

static inline int
bound_map_item (const struct bound *b, const no_value *map, no_value key,
                no_value value)
{
  (void)b;
  (void)map;
  (void)key;
  (void)value;
  return 0;
}

/* Names required by the library's template.  NOLINTBEGIN */
#define msgpack_unpack_struct(name) struct bound##name
#define msgpack_unpack_func(ret, name) static inline ret bound##name
#define msgpack_unpack_callback(name) bound##name
#define msgpack_unpack_object no_value
#define msgpack_unpack_user struct bound
/* NOLINTEND */
#include <msgpack/unpack.h>
#include <msgpack/unpack_define.h>

#include <msgpack/unpack_template.h>

int
pr_check_element_counts (const char *data, int size)
{
  struct bound_context ctx = { .user = { (uint64_t)size } };
  size_t used = 0;

  bound_init (&ctx);
  if (bound_execute (&ctx, data, (size_t)size, &used) != 1
      || used != (size_t)size)
    return PR_EINVAL;
  return PR_OK;
}
