#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace carawaypoint
{

/// Checks the head of a response beyond what Beast's parser does. A head that fails is no answer: it must not be passed on or acted on, and its
/// connection must not be used again.
///
/// Errors: `bad_status` for a status outside 100 to 599, `bad_transfer_encoding` for another encoding than chunked, which hides where the body
/// ends, `bad_content_length` for several lengths, and `bad_field` or `bad_value` for a name or a value that HTTP does not allow.
boost::system::error_code checkResponseHead(const boost::beast::http::response_header<> &head);

/// Checks the head of a response to a request that asks for no interim responses: as checkResponseHead(), with `bad_status` also for a status
/// below 200.
boost::system::error_code checkFinalResponseHead(const boost::beast::http::response_header<> &head);

/// Whether the Transfer-Encoding fields of a message, if any, say chunked and nothing else.
bool hasKnownTransferEncoding(const boost::beast::http::fields &fields);

}
