#include "filter/error.h"

const char *
fl_strerror (int error)
{
  switch ((enum fl_error)error)
    {
    case FL_OK:
      return "success";
    case FL_EINVAL:
      return "invalid argument";
    case FL_ENOMEM:
      return "out of memory";
    case FL_EFULL:
      return "table is full";
    case FL_EBUSY:
      return "no free slot";
    case FL_ENOENT:
      return "no upstream";
    case FL_ESTALE:
      return "outdated epoch or expired grant";
    }
  return "unknown error";
}
