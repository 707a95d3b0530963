// Compiles easylogging++, once for the whole library.

#include <easylogging++.cc>
