#include "control/control.h"

const char *
ct_strerror (int error)
{
  switch ((enum ct_error)error)
    {
    case CT_OK:
      return "success";
    case CT_EINVAL:
      return "malformed row or answer";
    case CT_ENOMEM:
      return "out of memory";
    case CT_ELOST:
      return "the cell's lease is not held";
    case CT_EDECIDE:
      return "the decision layer refused an event";
    }
  return "unknown error";
}
