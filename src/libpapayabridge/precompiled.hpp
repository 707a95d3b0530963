// Headers that take long to compile and that most sources need.

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/outcome/result.hpp>
#include <json/json.h>
#include <map>
#include <memory>
#include <string>
#include <vector>
