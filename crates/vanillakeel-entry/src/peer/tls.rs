//! TLS and QUIC configuration from the keys and certificates of an instance.

use crate::settings::Keys;
use quinn::{
    ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{
        QuicClientConfig,
        QuicServerConfig, //
    },
};
use rustls::{
    RootCertStore,
    pki_types::{
        CertificateDer,
        PrivateKeyDer,
        pem::PemObject as _, //
    },
    server::WebPkiClientVerifier,
};
use std::{
    path::Path,
    sync::Arc, //
};

/// Time after which an idle connection is closed, in ms.
const IDLE_TIMEOUT_MS: u32 = 600_000;

/// Maximum number of streams that a peer may have open at the same time.
const MAX_STREAMS: u32 = 16;

/// Configuration of both ends of a connection.
#[derive(Debug)]
pub(super) struct QuicConfigs {
    pub(super) server: ServerConfig,
    pub(super) client: ClientConfig,
}

/// Returns a closure that puts the path of a file in front of an error.
fn with_path(path: &Path) -> impl Fn(rustls::pki_types::pem::Error) -> String {
    move |e| format!("{}: {e}", path.display())
}

/// Reads the key files; both ends require a certificate signed by the authority.
pub(super) fn read_keys(keys: &Keys) -> Result<QuicConfigs, String> {
    let ca = CertificateDer::from_pem_file(&keys.ca).map_err(with_path(&keys.ca))?;
    let mut roots = RootCertStore::empty();
    roots.add(ca).map_err(|e| e.to_string())?;
    let roots = Arc::new(roots);
    let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_file_iter(&keys.certificate)
        .and_then(Iterator::collect)
        .map_err(with_path(&keys.certificate))?;
    let key = PrivateKeyDer::from_pem_file(&keys.key).map_err(with_path(&keys.key))?;
    let transport = Arc::new(transport());
    Ok(QuicConfigs {
        server: server(&roots, &chain, key.clone_key(), &transport)?,
        client: client(&roots, &chain, key, &transport)?,
    })
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    transport.max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(0));
    transport
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn server(
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: PrivateKeyDer<'static>,
    transport: &Arc<TransportConfig>,
) -> Result<ServerConfig, String> {
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), provider())
        .build()
        .map_err(|e| e.to_string())?;
    let tls = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| e.to_string())?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.to_vec(), key)
        .map_err(|e| e.to_string())?;
    let quic = QuicServerConfig::try_from(tls).map_err(|e| e.to_string())?;
    let mut server = ServerConfig::with_crypto(Arc::new(quic));
    server.transport_config(Arc::clone(transport));
    Ok(server)
}

fn client(
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: PrivateKeyDer<'static>,
    transport: &Arc<TransportConfig>,
) -> Result<ClientConfig, String> {
    let tls = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| e.to_string())?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain.to_vec(), key)
        .map_err(|e| e.to_string())?;
    let quic = QuicClientConfig::try_from(tls).map_err(|e| e.to_string())?;
    let mut client = ClientConfig::new(Arc::new(quic));
    client.transport_config(Arc::clone(transport));
    Ok(client)
}
