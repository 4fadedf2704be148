//! Generates keys for a test set of instances: a certificate authority (CA) and, for each instance,
//! a private key and a certificate that the CA signed.
//!
//! [`generate`] returns a [`KeySet`], and [`KeySet::write`] writes it into a folder.

use rcgen::{
    BasicConstraints,
    CertificateParams,
    CertifiedIssuer,
    DnType,
    ExtendedKeyUsagePurpose,
    IsCa,
    KeyPair,
    KeyUsagePurpose, //
};
use std::{
    fs,
    io,
    path::Path, //
};

const CA_NAME: &str = "vanillakeel test authority";

/// The error when keys can't be generated or written.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// no keys: {0}
    Generate(rcgen::Error),
    /// no file: {0}
    Write(io::Error),
}

impl std::error::Error for Error {}

impl From<rcgen::Error> for Error {
    fn from(e: rcgen::Error) -> Self {
        Self::Generate(e)
    }
}

/// The certificate and private key of an instance, in PEM format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceKey {
    /// The instance's name, which is also the subject of its certificate.
    pub name: String,
    /// The certificate, valid for TLS servers and clients.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// The keys of a set of instances, in PEM format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeySet {
    /// The certificate of the CA.
    pub ca: String,
    /// One entry for each instance.
    pub instances: Vec<InstanceKey>,
}

/// Generates keys for the instances `names`.
///
/// The CA's private key is dropped, so that no further certificates can be signed by it.
///
/// # Errors
///
/// Returns an error if a name is not allowed in a certificate.
pub fn generate(names: &[&str]) -> Result<KeySet, Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params.distinguished_name.push(DnType::CommonName, CA_NAME);
    let ca = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    let instances = names.iter().map(|name| instance_key(name, &ca));
    Ok(KeySet {
        ca: ca.pem(),
        instances: instances.collect::<Result<_, _>>()?,
    })
}

fn instance_key(name: &str, ca: &CertifiedIssuer<'_, KeyPair>) -> Result<InstanceKey, Error> {
    let mut params = CertificateParams::new(vec![name.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate()?;
    let certificate = params.signed_by(&key, ca)?;
    Ok(InstanceKey {
        name: name.to_owned(),
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

impl KeySet {
    /// Writes `ca.pem` and, for each instance, `NAME.pem` and `NAME.key` into a folder, which is
    /// created if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be created or a file can't be written.
    pub fn write(&self, folder: &Path) -> Result<(), Error> {
        let write = |name: String, pem: &str| fs::write(folder.join(name), pem);
        fs::create_dir_all(folder).map_err(Error::Write)?;
        write("ca.pem".to_owned(), &self.ca).map_err(Error::Write)?;
        for instance in &self.instances {
            write(format!("{}.pem", instance.name), &instance.certificate).map_err(Error::Write)?;
            write(format!("{}.key", instance.name), &instance.key).map_err(Error::Write)?;
        }
        Ok(())
    }
}
