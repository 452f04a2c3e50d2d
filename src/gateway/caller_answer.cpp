#include "gateway/caller_answer.h"

#include "intake/counted_write.h"
#include "net/socket_deadline.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrassgw {

task<bool> caller_answer::send_whole(text_reply reply) {
    if (failed_) {
        co_return false;
    }
    started_ = true;
    status_ = reply.result_int();
    reply.version(11);
    reply.keep_alive(keep_alive_);
    if (head_only_) {
        reply.body().clear();
    }
    reply.prepare_payload();
    const caller_connection::write_scope writing(caller_, caller_connection::stopped_write_end::in_order);
    const net_error ec = co_await write_counted(caller_.socket(), reply, place_);
    finished_ = note_written(ec);
    co_return finished_;
}

task<bool> caller_answer::send_own(text_reply reply) {
    const socket_deadline limit(caller_.socket(), own_answer_time);
    co_return co_await send_whole(std::move(reply));
}

task<bool> caller_answer::send_head(answer_head head) {
    if (failed_) {
        co_return false;
    }
    started_ = true;
    status_ = head.result_int();
    keep_alive_ = keep_alive_ && reads_chunks_;
    head.version(11);
    head.keep_alive(keep_alive_);
    head.chunked(reads_chunks_);
    http::response_serializer<http::empty_body> serializer(head);
    const caller_connection::write_scope writing(caller_, end_if_stopped());
    net_error ec;
    co_await http::async_write_header(caller_.socket(), serializer, with_error(ec));
    co_return note_written(ec);
}

task<bool> caller_answer::send_piece(std::string piece) {
    if (piece.empty() || head_only_ || failed_) {
        co_return !failed_; // An empty chunk would end the body.
    }
    const caller_connection::write_scope writing(caller_, end_if_stopped());
    net_error ec;
    const counted_sending counted(place_, piece.size());
    if (reads_chunks_) {
        co_await asio::async_write(caller_.socket(), http::make_chunk(asio::buffer(piece)),
                                   counted.progress(), with_error(ec));
    } else {
        co_await asio::async_write(caller_.socket(), asio::buffer(piece), counted.progress(), with_error(ec));
    }
    co_return note_written(ec);
}

task<bool> caller_answer::finish() {
    if (failed_) {
        co_return false;
    }
    const caller_connection::write_scope writing(caller_, end_if_stopped());
    net_error ec;
    if (reads_chunks_ && !head_only_) {
        co_await asio::async_write(caller_.socket(), http::make_chunk_last(), with_error(ec));
    }
    finished_ = note_written(ec);
    co_return finished_;
}

/// Records how a write ended. After a failed one no other may begin: it could wait for ever. Returns whether
/// the write succeeded.
bool caller_answer::note_written(net_error ec) {
    failed_ = failed_ || ec;
    return !failed_;
}

void caller_answer::break_off() {
    if (reads_chunks_ || !started_ || finished_) {
        return;
    }
    caller_.reset();
}

} // namespace eelgrassgw
