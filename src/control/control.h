/* Error codes and sizes shared by the controllers.  */
#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

enum ct_error
{
  CT_OK = 0,
  CT_EINVAL = -501, /* malformed row or answer */
  CT_ENOMEM = -502, /* allocation failed */
  CT_ELOST = -503,  /* the cell's lease is not held */
  CT_EDECIDE = -504 /* the decision layer refused an event */
};

enum
{
  CT_NAME = 64,    /* bytes of a VM, cell, rack or job name with its NUL */
  CT_ADDRESS = 64, /* bytes of "IP:PORT" with its NUL */
  CT_TOKEN = 17    /* bytes of 16 hex digits and the NUL */
};

/* Returns a static description of an enum ct_error.  */
const char *ct_strerror (int error);

#endif
