#define BOOST_TEST_MODULE goldcrestwell
#include <boost/test/unit_test.hpp>
