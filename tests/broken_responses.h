// Responses that stand-ins for instances and upstreams send: such as are no
// valid HTTP/1.1, of which no caller may get anything, and valid ones of an
// unusual form.
#ifndef TESTS_BROKEN_RESPONSES_H_
#define TESTS_BROKEN_RESPONSES_H_

#include <fmt/format.h>

#include <string>
#include <utility>
#include <vector>

namespace verbenastile {

// A response and what is unusual about it.
struct RawResponse {
  const char* name = "";
  std::string bytes;
};

// Part of each response that is not valid.
constexpr const char* kBrokenBody = "not-a-body";

// `headers`: those that a valid response of the server would have, each with
// its line end.
inline std::vector<RawResponse> MakeInvalidStatuses(
    const std::string& headers) {
  const std::string whole = "HTTP/1.1 200 OK\r\n" + headers +
                            "Content-Length: 10\r\n\r\n" + kBrokenBody;
  const auto with_status = [&](int status) {
    return fmt::format("HTTP/1.1 {:03} X\r\n{}Content-Length: 10\r\n\r\n{}",
                       status, headers, kBrokenBody);
  };
  // A head that is followed by a whole response.
  const auto before_whole = [&](int status, const std::string& line = {}) {
    return fmt::format("HTTP/1.1 {:03} X\r\n{}{}\r\n{}", status, headers, line,
                       whole);
  };
  return {
      {"status 000", with_status(0)},
      {"status 000 before a whole response", before_whole(0)},
      {"status 000 with an empty body before a whole response",
       before_whole(0, "Content-Length: 0\r\n")},
      {"status 001", with_status(1)},
      {"status 099", with_status(99)},
      {"status 099 before a whole response", before_whole(99)},
      {"status 101, which nobody asked for", before_whole(101)},
      {"status 600", with_status(600)},
      {"status 999", with_status(999)},
  };
}

inline std::vector<RawResponse> MakeInvalidHeads(const std::string& headers) {
  using std::string_literals::operator""s;
  const auto with_status_line = [&](const std::string& line) {
    return line + "\r\n" + headers + "Content-Length: 10\r\n\r\n" + kBrokenBody;
  };
  const auto with_line = [&](const std::string& line) {
    return "HTTP/1.1 200 OK\r\n" + headers + line +
           "Content-Length: 10\r\n\r\n" + kBrokenBody;
  };
  const auto framed_by = [&](const std::string& line,
                             const std::string& body = kBrokenBody) {
    return "HTTP/1.1 200 OK\r\n" + headers + line + "\r\n" + body;
  };
  return {
      {"a status of two digits", with_status_line("HTTP/1.1 20 OK")},
      {"a status of four digits", with_status_line("HTTP/1.1 0200 OK")},
      {"a status with a sign", with_status_line("HTTP/1.1 +200 OK")},
      {"a status behind two blanks", with_status_line("HTTP/1.1  200 OK")},
      {"no status", with_status_line("HTTP/1.1 OK")},
      {"a control byte in the reason", with_status_line("HTTP/1.1 200 \x01")},
      {"version 2.0", with_status_line("HTTP/2.0 200 OK")},
      {"version 0.9", with_status_line("HTTP/0.9 200 OK")},
      {"no status line", headers + "Content-Length: 10\r\n\r\n" + kBrokenBody},
      {"no head", std::string(kBrokenBody) + "\r\n\r\n"},
      {"a blank in a name", with_line("X Name: 1\r\n")},
      {"a blank before the colon", with_line("X-Name : 1\r\n")},
      {"a tab before the colon", with_line("X-Name\t: 1\r\n")},
      {"a length with a blank before the colon",
       framed_by("Content-Length : 10\r\n")},
      {"a length with a blank in its name",
       framed_by("Content Length: 10\r\n")},
      {"an encoding with a blank before the colon",
       framed_by("Transfer-Encoding : chunked\r\n",
                 "a\r\nnot-a-body\r\n0\r\n\r\n")},
      {"a control byte in a name", with_line("X-\x01Name: 1\r\n")},
      {"a NUL in a name", with_line("X-\0Name: 1\r\n"s)},
      {"DEL in a name", with_line("X-\x7fName: 1\r\n")},
      {"a byte over 127 in a name", with_line("X-\xc3\xa4: 1\r\n")},
      {"a delimiter in a name", with_line("X(Name): 1\r\n")},
      {"an empty name", with_line(": 1\r\n")},
      {"a line without a colon", with_line("X-Name\r\n")},
      {"a control byte that begins a value", with_line("X-Name: \x01x\r\n")},
      {"a control byte in a value", with_line("X-Name: a\x01x\r\n")},
      {"a NUL that begins a value", with_line("X-Name: \0x\r\n"s)},
      {"a NUL in a value", with_line("X-Name: a\0x\r\n"s)},
      {"DEL that begins a value", with_line("X-Name: \x7f\r\n")},
      {"CR alone in a value", with_line("X-Name: a\rb\r\n")},
      {"CR alone that ends an empty value",
       with_line("X-Name:\rxX-Other: b\r\n")},
      {"CR alone that ends the head", "HTTP/1.1 200 OK\r\n" + headers +
                                          "Content-Length: 10\r\n\rx" +
                                          kBrokenBody},
      {"a folded line", with_line("X-Name: a\r\n b\r\n")},
      {"a folded line with a colon", with_line("X-Name: a\r\n\tb: c\r\n")},
      {"a blank that begins the first line",
       "HTTP/1.1 200 OK\r\n X-Name: 1\r\n" + headers +
           "Content-Length: 10\r\n\r\n" + kBrokenBody},
  };
}

inline std::vector<RawResponse> MakeInvalidLengths(const std::string& headers) {
  const std::string chunks = "a\r\nnot-a-body\r\n0\r\n\r\n";
  const auto framed_by = [&](const std::string& lines,
                             const std::string& body = kBrokenBody) {
    return "HTTP/1.1 200 OK\r\n" + headers + lines + "\r\n" + body;
  };
  return {
      {"two lengths that differ",
       framed_by("Content-Length: 10\r\nContent-Length: 4\r\n")},
      {"two lengths in one line", framed_by("Content-Length: 10, 4\r\n")},
      {"a length with a sign", framed_by("Content-Length: +10\r\n")},
      {"a negative length", framed_by("Content-Length: -10\r\n")},
      {"a length with a blank", framed_by("Content-Length: 1 0\r\n")},
      {"a length in hexadecimal", framed_by("Content-Length: 0xa\r\n")},
      {"an empty length", framed_by("Content-Length:\r\n")},
      {"a length over 64 bits",
       framed_by("Content-Length: 18446744073709551626\r\n")},
      {"a length beside chunks",
       framed_by("Content-Length: 10\r\nTransfer-Encoding: chunked\r\n",
                 chunks)},
      {"chunks beside a length",
       framed_by("Transfer-Encoding: chunked\r\nContent-Length: 10\r\n",
                 chunks)},
      {"an encoding beside a length",
       framed_by("Transfer-Encoding: rot13\r\nContent-Length: 10\r\n")},
      {"an encoding that is not known",
       framed_by("Transfer-Encoding: rot13\r\n")},
      {"an encoding behind chunks",
       framed_by("Transfer-Encoding: chunked, rot13\r\n", chunks)},
      {"an encoding before chunks",
       framed_by("Transfer-Encoding: rot13, chunked\r\n", chunks)},
      {"an encoding in a line before chunks",
       framed_by("Transfer-Encoding: rot13\r\nTransfer-Encoding: chunked\r\n",
                 chunks)},
      {"chunks twice",
       framed_by("Transfer-Encoding: chunked, chunked\r\n", chunks)},
      {"an empty encoding", framed_by("Transfer-Encoding:\r\n", chunks)},
  };
}

// Their heads are valid, and may have been passed on.
inline std::vector<RawResponse> MakeInvalidChunks(const std::string& headers) {
  const auto chunked = [&](const std::string& body) {
    return "HTTP/1.1 200 OK\r\n" + headers +
           "Transfer-Encoding: chunked\r\n\r\n" + body;
  };
  return {
      {"no size", chunked("\r\nnot-a-body\r\n0\r\n\r\n")},
      {"a size with a sign", chunked("+a\r\nnot-a-body\r\n0\r\n\r\n")},
      {"a size with a prefix", chunked("0xa\r\nnot-a-body\r\n0\r\n\r\n")},
      {"a blank before the size", chunked(" a\r\nnot-a-body\r\n0\r\n\r\n")},
      {"a blank in the size", chunked("a 0\r\nnot-a-body\r\n0\r\n\r\n")},
      {"CR alone behind the size", chunked("a\rxnot-a-body\r\n0\r\n\r\n")},
      {"LF alone behind the size", chunked("a\nnot-a-body\r\n0\r\n\r\n")},
      {"a control byte in an extension",
       chunked("a;\x01\r\nnot-a-body\r\n0\r\n\r\n")},
      {"a chunk that is longer than its size",
       chunked("8\r\nnot-a-body\r\n0\r\n\r\n")},
      {"a chunk that is shorter than its size",
       chunked("c\r\nnot-a-body\r\n0\r\n\r\n")},
      {"a chunk without its line end", chunked("a\r\nnot-a-body0\r\n\r\n")},
      {"other bytes in place of a line end",
       chunked("a\r\nnot-a-bodyxx0\r\n\r\n")},
      {"LF alone behind a chunk", chunked("a\r\nnot-a-body\n0\r\n\r\n")},
      {"a size over 64 bits",
       chunked("1000000000000000a\r\nnot-a-body\r\n0\r\n\r\n")},
      {"a trailer with a blank in its name",
       chunked("a\r\nnot-a-body\r\n0\r\nX Name: 1\r\n\r\n")},
      {"a trailer without a colon",
       chunked("a\r\nnot-a-body\r\n0\r\nX-Name\r\n\r\n")},
      {"other bytes in place of the last line end",
       chunked("a\r\nnot-a-body\r\n0\r\n\rx")},
      {"no last line", chunked("a\r\nnot-a-body\r\n0\r\n")},
  };
}

// Those of which not even the head is passed on.
inline std::vector<RawResponse> MakeBrokenResponses(
    const std::string& headers) {
  std::vector<RawResponse> all;
  for (const auto make :
       {MakeInvalidStatuses, MakeInvalidHeads, MakeInvalidLengths}) {
    for (RawResponse& response : make(headers)) {
      all.push_back(std::move(response));
    }
  }
  return all;
}

constexpr const char* kWholeBody = "whole-body";

// Responses of an unusual form that are valid, with the body `kWholeBody`.
inline std::vector<RawResponse> MakeUnusualResponses(
    const std::string& headers) {
  const auto with_status_line = [&](const std::string& line) {
    return line + "\r\n" + headers + "Content-Length: 10\r\n\r\n" + kWholeBody;
  };
  const auto with_line = [&](const std::string& line) {
    return "HTTP/1.1 200 OK\r\n" + headers + line +
           "Content-Length: 10\r\n\r\n" + kWholeBody;
  };
  const auto with_framing = [&](const std::string& line,
                                const std::string& body = kWholeBody) {
    return "HTTP/1.1 200 OK\r\n" + headers + line + "\r\n" + body;
  };
  return {
      {"no reason", with_status_line("HTTP/1.1 200 ")},
      {"no blank behind the status", with_status_line("HTTP/1.1 200")},
      {"a reason of other bytes", with_status_line("HTTP/1.1 200 \xc3\xa4\tb")},
      {"a long reason",
       with_status_line("HTTP/1.1 200 " + std::string(1'000, 'a'))},
      {"version 1.0", with_status_line("HTTP/1.0 200 OK")},
      {"blanks and tabs around a value and in it",
       with_line("X-Name: \t a\tb  c \t\r\n")},
      {"no blank before a value", with_line("X-Name:a\r\n")},
      {"an empty value", with_line("X-Name:\r\n")},
      {"a value of other bytes", with_line("X-Name: \xc3\xa4\xff\r\n")},
      {"each kind of character in a name",
       with_line("!#$%&'*+-.^_`|~09azAZ: 1\r\n")},
      {"lines that end with LF alone",
       "HTTP/1.1 200 OK\n" + headers + "Content-Length: 10\n\n" + kWholeBody},
      {"no length", "HTTP/1.1 200 OK\r\n" + headers + "\r\n" + kWholeBody},
      {"blanks around a length", with_framing("Content-Length: \t 10 \r\n")},
      {"zeros before a length", with_framing("Content-Length: 0010\r\n")},
      {"chunks", with_framing("Transfer-Encoding: Chunked\r\n",
                              "A\r\nwhole-body\r\n0\r\n\r\n")},
      {"chunks with zeros, blanks, extensions and trailers",
       with_framing("Transfer-Encoding: \tchunked \r\n",
                    "00a \t;a=\"b;c\";d\r\nwhole-body\r\n"
                    "000 ;e\r\nX-Name: 1\r\nX-Other:\r\n\r\n")},
  };
}

}  // namespace verbenastile

#endif  // TESTS_BROKEN_RESPONSES_H_
