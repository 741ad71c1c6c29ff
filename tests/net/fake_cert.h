#ifndef FAKE_CERT_H
#define FAKE_CERT_H

/* Makes a self-signed certificate for 127.0.0.1 and its key as PEM texts, to
   be freed by free.  Returns 0, or -1 when GnuTLS refuses.  */
int fake_cert (char **cert, char **key);

#endif
