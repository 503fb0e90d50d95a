#include <gtest/gtest.h>

#include "http/response_head_check.h"

namespace celeryspread::test {

namespace {

bool IsValid(const std::string& aHead, size_t aPieceSize)
{
  ResponseHeadCheck check;
  for (size_t at = 0; at < aHead.size(); at += aPieceSize) {
    check.Feed(std::string_view(aHead).substr(at, aPieceSize));
  }
  return check.IsValid();
}

} // namespace

// Guards against answers with an invalid status, which reached the caller as
// the number that its text begins with.
TEST(ResponseHeadCheckTest, StatusHasThreeDigitsOfAFinalAnswer)
{
  struct Case
  {
    const char* m_line;
    bool m_isValid;
  };
  for (const Case& line :
       { Case{ "HTTP/1.1 200 OK", true },    Case{ "HTTP/1.0 404 Gone", true },
         Case{ "HTTP/1.1 204", true },       Case{ "HTTP/1.1 503 ", true },
         Case{ "HTTP/1.1 599 X", true },     Case{ "HTTP/1.1 000 X", false },
         Case{ "HTTP/1.1 001 X", false },    Case{ "HTTP/1.1 099 X", false },
         Case{ "HTTP/1.1 600 X", false },    Case{ "HTTP/1.1 1000 X", false },
         Case{ "HTTP/1.1 0200 X", false },   Case{ "HTTP/1.1 20 X", false },
         Case{ "HTTP/1.1 2 00 X", false },   Case{ "HTTP/1.1 20x X", false },
         Case{ "HTTP/1.1 200x X", false },   Case{ "HTTP/1.1 -200 X", false },
         Case{ "HTTP/1.1 +200 X", false },   Case{ "HTTP/1.1 101 X", false },
         Case{ "HTTP/1.1 103 X", false },    Case{ "HTTP/1.1  200 X", false },
         Case{ "HTTP/1.1\t200 X", false },   Case{ "HTTP/2.0 200 X", false },
         Case{ "HTTP/1.x 200 X", false },    Case{ "HTTP/1.1 200\t", false },
         Case{ "http/1.1 200 X", false },    Case{ "", false },
         Case{ "HTTP/1.1 200 a\x01", false } }) {
    for (const size_t pieceSize : { 1, 5, 1000 }) {
      for (const std::string end : { "\r\n", "\n" }) {
        EXPECT_EQ(IsValid(line.m_line + end + "A: b" + end + end, pieceSize),
                  line.m_isValid)
          << line.m_line;
      }
    }
  }
}

TEST(ResponseHeadCheckTest, EachHeadAfterAnInterimAnswerIsChecked)
{
  const std::string interim = "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n\r\n";
  EXPECT_TRUE(IsValid(interim + interim + ok, 3));
  EXPECT_FALSE(IsValid(interim + "HTTP/1.1 20 X\r\n\r\n", 3));
  // The body is not looked at.
  EXPECT_TRUE(IsValid(ok + "HTTP/1.1 20 X\r\n\r\n\x01", 3));
}

TEST(ResponseHeadCheckTest, ControlCharactersAreNoField)
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  EXPECT_FALSE(IsValid(status + std::string("A: b\0c\r\n\r\n", 10), 1000));
  EXPECT_TRUE(IsValid(status + "A:\tb\r\n\r\n", 1000));
}

// Guards against a body of which nobody knows where it ends.
TEST(ResponseHeadCheckTest, FieldsHaveOneMeaning)
{
  using Check = ResponseHeadCheck;
  EXPECT_TRUE(Check::AreValidFields({ { "Content-Length", "0" } }));
  EXPECT_TRUE(Check::AreValidFields(
    { { "Content-Length", "4" }, { "content-length", "4" } }));
  EXPECT_TRUE(Check::AreValidFields({ { "Transfer-Encoding", "Chunked" } }));
  EXPECT_FALSE(Check::AreValidFields(
    { { "Content-Length", "4" }, { "Content-Length", "5" } }));
  for (const char* length :
       { "", "+4", "-4", "0x4", "4, 4", "4 ", "9999999999999999999" }) {
    EXPECT_FALSE(Check::AreValidFields({ { "Content-Length", length } }))
      << length;
  }
  for (const char* coding : { "gzip, chunked", "gzip", "chunked, chunked" }) {
    EXPECT_FALSE(Check::AreValidFields({ { "Transfer-Encoding", coding } }))
      << coding;
  }
  for (const char* name : { "", "Bad Name", "A:", "Na\x80me", "(a)" }) {
    EXPECT_FALSE(Check::AreValidFields({ { name, "x" } })) << name;
  }
}

} // namespace celeryspread::test
