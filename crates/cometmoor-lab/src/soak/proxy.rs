//! A way over loopback that can be slowed, silenced, cut and reset.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4};
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::BytesMut;
use cometmoor_gateway::http::connection::{read_some, write_all};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::schedule::WayFault;

/// What each piece waits on a slow way.
const SLOW: Duration = Duration::from_millis(150);

/// What passes now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Mode {
    #[default]
    Open,
    Slow,
    Cut,
    CutBack,
}

#[derive(Default)]
struct Link {
    is_silent: Cell<bool>,
    is_reset: Cell<bool>,
    changed: Notify,
}

struct State {
    target: Cell<SocketAddrV4>,
    mode: Cell<Mode>,
    links: RefCell<Vec<Weak<Link>>>,
    changed: Notify,
}

/// A way to an address.
#[derive(Clone)]
pub struct Way {
    /// Where it begins.
    pub address: SocketAddrV4,
    state: Rc<State>,
}

/// Direction of a copy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

impl Way {
    /// Opens a way from an address of this host to a target.
    pub async fn open(host: Ipv4Addr, target: SocketAddrV4) -> std::io::Result<Way> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = SocketAddrV4::new(host, listener.local_addr()?.port());
        let state = Rc::new(State {
            target: Cell::new(target),
            mode: Cell::default(),
            links: RefCell::default(),
            changed: Notify::new(),
        });
        let shared = state.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(carry(stream, shared.clone()));
            }
        });
        Ok(Way { address, state })
    }

    /// Begins a fault.
    pub fn strike(&self, fault: WayFault) {
        match fault {
            WayFault::Slow => self.state.mode.set(Mode::Slow),
            WayFault::Cut => self.state.mode.set(Mode::Cut),
            WayFault::CutBack => self.state.mode.set(Mode::CutBack),
            WayFault::SilenceOpen => self.each_link(|link| link.is_silent.set(true)),
            WayFault::Reset => self.each_link(|link| link.is_reset.set(true)),
        }
        self.state.changed.notify_waiters();
    }

    /// Ends a fault that lasts; what was held up goes on.
    pub fn heal(&self) {
        self.state.mode.set(Mode::Open);
        self.state.changed.notify_waiters();
    }

    /// Leads to another target from now on; open connections are reset.
    pub fn lead_to(&self, target: SocketAddrV4) {
        self.state.target.set(target);
        self.strike(WayFault::Reset);
    }

    fn each_link(&self, change: impl Fn(&Link)) {
        self.state.links.borrow_mut().retain(|link| link.strong_count() > 0);
        for link in self.state.links.borrow().iter().filter_map(Weak::upgrade) {
            change(&link);
            link.changed.notify_waiters();
        }
    }
}

async fn carry(from: TcpStream, state: Rc<State>) {
    // A way that is cut takes connections, as a host behind it that says nothing.
    let Ok(to) = TcpStream::connect(state.target.get()).await else { return };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let link = Rc::new(Link::default());
    state.links.borrow_mut().push(Rc::downgrade(&link));
    let there = pass(&from, &to, Direction::There, &state, &link);
    let back = pass(&to, &from, Direction::Back, &state, &link);
    let is_reset = tokio::select! {
        ended = async { tokio::try_join!(there, back) } => ended.is_err(),
        () = until_reset(&link) => true,
    };
    if is_reset {
        // Closed without this, a response that ends with its connection would look complete.
        let _ = (from.set_zero_linger(), to.set_zero_linger());
    }
}

async fn until_reset(link: &Link) {
    loop {
        let changed = link.changed.notified();
        if link.is_reset.get() {
            return;
        }
        changed.await;
    }
}

/// Passes bytes on until the sender closes the connection; an error if it is reset.
async fn pass(
    from: &TcpStream,
    to: &TcpStream,
    direction: Direction,
    state: &State,
    link: &Link,
) -> std::io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.clear();
        let read = read_some(from, &mut buffer).await;
        wait_for_passage(direction, state, link).await;
        if read? == 0 {
            return SockRef::from(to).shutdown(Shutdown::Write);
        }
        write_all(to, &buffer).await?;
    }
}

/// Waits while nothing passes; for ever where the connection has gone silent.
async fn wait_for_passage(direction: Direction, state: &State, link: &Link) {
    loop {
        let changed = state.changed.notified();
        if link.is_silent.get() {
            return std::future::pending().await;
        }
        match state.mode.get() {
            Mode::Open => return,
            Mode::Slow => return tokio::time::sleep(SLOW).await,
            Mode::CutBack if direction == Direction::There => return,
            Mode::Cut | Mode::CutBack => changed.await,
        }
    }
}
