#include "gateway/caller_answer.h"

#include "intake/counted_write.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrassgw {

task<bool> caller_answer::send_whole(text_reply reply) {
    started_ = true;
    status_ = reply.result_int();
    reply.version(11);
    reply.keep_alive(keep_alive_);
    if (head_only_) {
        reply.body().clear();
    }
    reply.prepare_payload();
    net_error ec = co_await write_counted(caller_, reply, place_);
    finished_ = !ec;
    co_return finished_;
}

task<bool> caller_answer::send_head(answer_head head) {
    started_ = true;
    status_ = head.result_int();
    keep_alive_ = keep_alive_ && reads_chunks_;
    head.version(11);
    head.keep_alive(keep_alive_);
    head.chunked(reads_chunks_);
    http::response_serializer<http::empty_body> serializer(head);
    net_error ec;
    co_await http::async_write_header(caller_, serializer, with_error(ec));
    co_return !ec;
}

task<bool> caller_answer::send_piece(std::string piece) {
    if (piece.empty() || head_only_) {
        co_return true; // An empty chunk would end the body.
    }
    net_error ec;
    const counted_sending counted(place_, piece.size());
    if (reads_chunks_) {
        co_await asio::async_write(caller_, http::make_chunk(asio::buffer(piece)), counted.progress(),
                                   with_error(ec));
    } else {
        co_await asio::async_write(caller_, asio::buffer(piece), counted.progress(), with_error(ec));
    }
    co_return !ec;
}

task<bool> caller_answer::finish() {
    net_error ec;
    if (reads_chunks_ && !head_only_) {
        co_await asio::async_write(caller_, http::make_chunk_last(), with_error(ec));
    }
    finished_ = !ec;
    co_return finished_;
}

void caller_answer::break_off() {
    if (reads_chunks_ || finished_) {
        return;
    }
    net_error ignored; // The caller may have closed the connection before.
    caller_.set_option(asio::socket_base::linger(true, 0), ignored);
    caller_.close(ignored);
}

} // namespace eelgrassgw
