//! A request's whole path, over real sockets: caller, entry, standby, endpoint and back.

use laburnumstall_core::request::Dialect;
use laburnumstall_site::{CUSTOMER_KEY, Caller, Site, SiteSpec};
use laburnumstall_standins::engine::expected_answer;

#[actix_rt::test]
async fn each_entry_answers_whole_and_streamed() {
    let site = Site::start(SiteSpec::default())
        .await
        .expect("the site starts");
    let caller = Caller::new(CUSTOMER_KEY);
    for (number, address) in site.addresses().into_iter().enumerate() {
        let prompt = format!("holding period of box {number}");
        let body = Caller::chat_body(&prompt, 12, false);
        let answer = caller.chat(address, &body).await.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(answer.text(), expected(&body));

        let body = Caller::chat_body(&prompt, 12, true);
        let answer = caller.chat(address, &body).await.expect("an answer");
        let (text, is_whole) = answer.stream_text();
        assert!(is_whole, "{}", answer.body);
        assert_eq!(Some(text), expected(&body));
        assert!(answer.request.is_some());
    }
    for line in site.lines.read() {
        println!("{line}");
    }
    site.close().await;
}

fn expected(body: &serde_json::Value) -> Option<String> {
    expected_answer(Dialect::Chat, body.to_string().as_bytes())
}
