//! Stand-in for the cloud API and the VM list, with refusals, notices and a lag.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{HttpResponse, web};
use laburnumstall_core::cloud::{OwnedVm, ReclaimNotice, VmRequest};
use laburnumstall_core::ids::{AvailabilityZone, VmClass, VmId};
use laburnumstall_core::resources::{Market, Vm, VmState};
use laburnumstall_outside::cloud::{NOTICES_PATH, NoticePage, VMS_PATH, VmAnswer};
use laburnumstall_outside::vm_list::VM_LIST_PATH;
use serde::{Deserialize, Serialize};

use crate::history::History;
use crate::server::{Server, StandIn, broken_response, count_down, lock, unix_now};

/// Time between two looks of a waiting call at the notices.
const NOTICE_POLL: Duration = Duration::from_millis(5);

/// Starts and stops what runs on the VMs.
pub trait VmHook: Send + 'static {
    /// A VM was granted; returns the address of the process on it.
    fn started(&mut self, id: &VmId, request: &VmRequest) -> SocketAddr;

    /// A VM was taken or given back.
    fn stopped(&mut self, id: &VmId);
}

/// Runs nothing.
impl VmHook for () {
    fn started(&mut self, _id: &VmId, _request: &VmRequest) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, 0).into()
    }

    fn stopped(&mut self, _id: &VmId) {}
}

/// Requests for VMs that are refused; an empty field stands for all.
#[derive(Debug, Clone, Default)]
pub struct RefusalRule {
    /// Machine class.
    pub class: Option<VmClass>,
    /// Zone.
    pub zone: Option<AvailabilityZone>,
    /// Market.
    pub market: Option<Market>,
}

impl RefusalRule {
    fn covers(&self, request: &VmRequest) -> bool {
        self.class.as_ref().is_none_or(|c| *c == request.class)
            && self.zone.as_ref().is_none_or(|z| *z == request.zone)
            && self.market.is_none_or(|m| m == request.market)
    }
}

/// State shared by the calls.
pub struct CloudState<H>(Mutex<Inner<H>>);

struct Inner<H> {
    hook: H,
    vms: Vec<OwnedVm>,
    created: u64,
    notices: Vec<ReclaimNotice>,
    refusals: Vec<RefusalRule>,
    replies_to_lose: u32,
    list_lag: Duration,
    views: History<Vec<Vm>>,
}

/// A running cloud API with its VM list. `crash` and `resume` make an outage; the hook's
/// processes are the caller's to close.
pub type CloudStandIn<H> = Server<CloudState<H>>;

impl<H: VmHook> CloudStandIn<H> {
    /// Starts a cloud with no VMs.
    pub fn start(hook: H) -> io::Result<Self> {
        let inner = Inner {
            hook,
            vms: Vec::new(),
            created: 0,
            notices: Vec::new(),
            refusals: Vec::new(),
            replies_to_lose: 0,
            list_lag: Duration::ZERO,
            views: History::default(),
        };
        Self::serve(CloudState(Mutex::new(inner)), Arc::default())
    }

    /// Adds a VM that was there before, such as one that runs an entry.
    pub fn add(&self, vm: Vm) {
        let mut inner = lock(&self.state.0);
        inner.vms.push(OwnedVm { vm, token: None });
        inner.note_change();
    }

    /// Returns the VMs.
    pub fn vms(&self) -> Vec<Vm> {
        lock(&self.state.0).current()
    }

    /// Announces that VMs are taken after `notice`; [`Self::take`] takes them.
    pub fn announce(&self, vms: &[VmId], notice: Duration) {
        let deadline = unix_now().after(notice);
        let mut inner = lock(&self.state.0);
        for owned in &mut inner.vms {
            if vms.contains(&owned.vm.id) {
                owned.vm.state = VmState::Leaving { deadline };
            }
        }
        let notices = vms.iter().cloned();
        let notices = notices.map(|vm| ReclaimNotice { vm, deadline });
        inner.notices.extend(notices);
        inner.note_change();
    }

    /// Takes VMs away.
    pub fn take(&self, vms: &[VmId]) {
        let mut inner = lock(&self.state.0);
        for vm in vms {
            inner.remove(vm);
        }
    }

    /// Refuses the requests for VMs that a rule covers.
    pub fn set_refusals(&self, rules: Vec<RefusalRule>) {
        lock(&self.state.0).refusals = rules;
    }

    /// Loses the replies of the next `calls` requests and releases; they take effect.
    pub fn lose_replies(&self, calls: u32) {
        lock(&self.state.0).replies_to_lose = calls;
    }

    /// Makes the VM list show what there was `lag` ago.
    pub fn set_list_lag(&self, lag: Duration) {
        lock(&self.state.0).list_lag = lag;
    }
}

impl<H: VmHook> Inner<H> {
    fn current(&self) -> Vec<Vm> {
        self.vms.iter().map(|owned| owned.vm.clone()).collect()
    }

    fn note_change(&mut self) {
        let view = self.current();
        self.views.push(Instant::now(), view);
    }

    fn lagging(&self) -> Vec<Vm> {
        let mut shown = self.views.shown(Instant::now(), self.list_lag);
        shown.next_back().cloned().unwrap_or_default()
    }

    fn request(&mut self, request: VmRequest) -> VmAnswer {
        let mut known = self.vms.iter();
        let known = known.find(|owned| owned.token.as_ref() == Some(&request.token));
        if known.is_none() && self.refusals.iter().any(|rule| rule.covers(&request)) {
            return VmAnswer::Refused;
        }
        let owned = known.cloned().unwrap_or_else(|| self.create(request));
        let owned = Box::new(owned);
        VmAnswer::Granted { owned }
    }

    fn create(&mut self, request: VmRequest) -> OwnedVm {
        self.created += 1;
        let name = format!("vm-{}", self.created);
        let id: VmId = name.parse().expect("the name is visible ASCII");
        let address = self.hook.started(&id, &request);
        let vm = Vm {
            id,
            zone: request.zone,
            class: request.class,
            market: request.market,
            role: request.role,
            address,
            state: VmState::Live,
        };
        let token = Some(request.token);
        let owned = OwnedVm { vm, token };
        self.vms.push(owned.clone());
        self.note_change();
        owned
    }

    fn remove(&mut self, id: &VmId) {
        let before = self.vms.len();
        self.vms.retain(|owned| owned.vm.id != *id);
        if self.vms.len() < before {
            self.hook.stopped(id);
            self.note_change();
        }
    }

    fn reply(&mut self, answer: &impl Serialize) -> HttpResponse {
        match count_down(&mut self.replies_to_lose) {
            true => broken_response(),
            false => HttpResponse::Ok().json(answer),
        }
    }

    fn notices_after(&self, after: u64) -> NoticePage {
        let skipped = usize::try_from(after).unwrap_or(usize::MAX);
        NoticePage {
            next: self.notices.len() as u64,
            notices: self.notices.iter().skip(skipped).cloned().collect(),
        }
    }
}

impl<H: VmHook> StandIn for CloudState<H> {
    fn routes(cfg: &mut web::ServiceConfig) {
        let vm_path = format!("{VMS_PATH}/{{vm}}");
        cfg.route(VMS_PATH, web::get().to(list::<H>))
            .route(VMS_PATH, web::post().to(request::<H>))
            .route(&vm_path, web::delete().to(release::<H>))
            .route(VM_LIST_PATH, web::get().to(lagging_list::<H>))
            .route(NOTICES_PATH, web::get().to(notices::<H>));
    }
}

#[derive(Deserialize)]
struct NoticeQuery {
    after: u64,
    wait_ms: u64,
}

async fn list<H: VmHook>(state: web::Data<CloudState<H>>) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&state.0).vms)
}

async fn lagging_list<H: VmHook>(state: web::Data<CloudState<H>>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state.0).lagging())
}

async fn request<H: VmHook>(
    state: web::Data<CloudState<H>>,
    request: web::Json<VmRequest>,
) -> HttpResponse {
    let mut inner = lock(&state.0);
    let answer = inner.request(request.into_inner());
    inner.reply(&answer)
}

async fn release<H: VmHook>(state: web::Data<CloudState<H>>, vm: web::Path<VmId>) -> HttpResponse {
    let mut inner = lock(&state.0);
    inner.remove(&vm);
    inner.reply(&())
}

async fn notices<H: VmHook>(
    state: web::Data<CloudState<H>>,
    query: web::Query<NoticeQuery>,
) -> HttpResponse {
    let ends = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let page = lock(&state.0).notices_after(query.after);
        if !page.notices.is_empty() || Instant::now() >= ends {
            return HttpResponse::Ok().json(page);
        }
        tokio::time::sleep(NOTICE_POLL).await;
    }
}
